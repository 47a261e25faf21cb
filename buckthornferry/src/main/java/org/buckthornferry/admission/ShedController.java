package org.buckthornferry.admission;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.control.Controller;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.ShedAck;
import org.buckthornferry.peer.ShedLevelReduction;
import org.buckthornferry.peer.ShedProposal;
import org.buckthornferry.util.Checks;

/**
 * Decides the shed level of each service, in agreement with the other instances of the region. When
 * this instance may shed a tier, every serving instance refuses all lower tiers.
 */
public final class ShedController implements Controller {
  /** The blackboard entry of the levels in force at this instance, by service. */
  public static final BlackboardEntry<Map<String, ShedLevel>> LEVELS =
      BlackboardEntry.of("shed-levels", Map.of());

  /**
   * A longer gap between two ticks means that this process was paused. It is shorter than the time
   * after which membership declares a silent member dead (3,000 ms), so an instance that was
   * declared dead during a pause joins again before it serves.
   */
  static final long MAX_TICK_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final long incarnation;
  private final PeerSender sender;
  private final Consumer<Map<String, ShedLevel>> levels;
  private final ServingPeers peers;
  private final Map<String, ShedAgreement> agreements = new TreeMap<>();
  private Map<String, ShedLevel> published = Map.of();
  private long lastTickNanos;
  private boolean ticked;

  /**
   * Creates a controller without services.
   *
   * @param incarnation the start time of this process, in milliseconds since the epoch
   */
  public ShedController(String selfId, long incarnation, Blackboard blackboard, PeerSender sender) {
    this.incarnation = incarnation;
    this.sender = Checks.notNull(sender, "sender");
    this.levels = blackboard.writerOf(LEVELS);
    this.peers = new ServingPeers(Checks.notEmpty(selfId, "selfId"), blackboard);
  }

  /** Joins the agreement on a service; repeated calls have no effect. */
  public void serve(String serviceId, long nowNanos) {
    agreement(serviceId, nowNanos);
  }

  /** Returns whether this instance knows the level of the service and may serve it. */
  public boolean isReady(String serviceId, long nowNanos) {
    return agreement(serviceId, nowNanos).isJoined();
  }

  /** Returns whether every request of the tier must be refused. */
  public boolean mustRefuse(String serviceId, Tier tier, long nowNanos) {
    return agreement(serviceId, nowNanos).acknowledged(nowNanos).refuses(tier);
  }

  /** Returns the level by which this instance may shed. */
  public ShedLevel inForce(String serviceId, long nowNanos) {
    return agreement(serviceId, nowNanos).inForce(nowNanos);
  }

  /** Requests a level at which the tier may be shed; the request expires unless it is repeated. */
  public void requestShedding(String serviceId, Tier tier, long nowNanos) {
    agreement(serviceId, nowNanos).requestLevel(ShedLevel.of(tier), nowNanos);
  }

  /**
   * Reports whether the estimated queue wait of the highest tier that may be shed at the level in
   * force is below the low-water mark, which is half of the maximum wait of that tier.
   */
  public void observeWait(String serviceId, boolean belowLowWater, long nowNanos) {
    agreement(serviceId, nowNanos).observeWait(belowLowWater, nowNanos);
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (message instanceof ShedProposal propose) {
      agreement(propose.serviceId(), nowNanos).onPropose(fromInstanceId, propose, nowNanos);
    } else if (message instanceof ShedAck ack) {
      agreement(ack.serviceId(), nowNanos).onAck(fromInstanceId, ack, nowNanos);
    } else if (message instanceof ShedLevelReduction lower) {
      agreement(lower.serviceId(), nowNanos).onLower(fromInstanceId, lower, nowNanos);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    rejoinAfterPause(nowNanos);
    lastTickNanos = nowNanos;
    ticked = true;
    peers.expireContacts(nowNanos);
    Map<String, ShedLevel> current = new TreeMap<>();
    agreements.forEach(
        (serviceId, agreement) -> {
          agreement.onTick(nowNanos);
          current.put(serviceId, agreement.inForce(nowNanos));
        });
    if (!current.equals(published)) {
      published = Map.copyOf(current);
      levels.accept(published);
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    agreements.forEach(
        (serviceId, agreement) ->
            dump.put(
                serviceId,
                Map.of(
                    "ready", agreement.isJoined(),
                    "inForce", agreement.inForce(lastTickNanos).name(),
                    "acknowledged", agreement.acknowledged(lastTickNanos).name())));
    return Map.of("shed", dump);
  }

  private ShedAgreement agreement(String serviceId, long nowNanos) {
    rejoinAfterPause(nowNanos);
    return agreements.computeIfAbsent(
        serviceId, id -> new ShedAgreement(id, incarnation, peers, sender, nowNanos));
  }

  private void rejoinAfterPause(long nowNanos) {
    if (ticked && nowNanos - lastTickNanos > MAX_TICK_GAP_NANOS) {
      lastTickNanos = nowNanos;
      agreements.values().forEach(agreement -> agreement.join(nowNanos));
    }
  }
}
