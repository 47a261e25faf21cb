package org.buckthornferry.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.RolloutReport;
import org.buckthornferry.peer.RolloutReport.RouteCounters;
import org.buckthornferry.peer.RolloutStateMessage;
import org.buckthornferry.peer.VersionFault;
import org.buckthornferry.rollout.StepPolicy.Decision;
import org.buckthornferry.store.KeyValueStore;
import org.jboss.logging.Logger;

/**
 * Moves services between versions. Every instance counts the requests that end at each version and
 * stops the new version at once when its own counts show a fault. The leader of a move gathers the
 * counts of all instances, takes the steps and writes the state to the store. A rollback takes
 * effect before it is written.
 */
public final class RolloutController implements Controller {
  private static final Logger LOG = Logger.getLogger(RolloutController.class);
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long URGENT_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long STATE_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Blackboard blackboard;
  private final RolloutPeers peers;
  private final RolloutStore store;
  private final RolloutLeadership leadership;
  private final LongSupplier epochMillis;
  private final Consumer<Map<String, RolloutState>> writer;
  private final Map<String, ServiceMove> moves = new TreeMap<>();
  private final Map<String, Long> nextReportNanos = new HashMap<>();
  private final Map<String, Long> nextStateNanos = new HashMap<>();
  private long configRevision = -1;

  /**
   * Creates the controller.
   *
   * @param epochMillis the wall clock, in milliseconds since the epoch
   * @param controlThread runs the completions of store calls
   */
  public RolloutController(
      Blackboard blackboard,
      PeerSender peers,
      KeyValueStore store,
      RolloutLeadership leadership,
      LongSupplier epochMillis,
      Executor controlThread) {
    this.blackboard = blackboard;
    this.peers = new RolloutPeers(blackboard, peers);
    this.store = new RolloutStore(store, controlThread, this::adopt);
    this.leadership = leadership;
    this.epochMillis = epochMillis;
    this.writer = blackboard.writerOf(RolloutState.ENTRY);
  }

  /** Returns whether a request may go to a version of a service now. */
  public boolean mayDispatch(String serviceId, String version) {
    ServiceMove move = moves.get(serviceId);
    if (move == null) {
      return isActiveVersion(serviceId, version);
    }
    boolean isNew = version.equals(move.rollout().toVersion());
    boolean isOld = version.equals(move.rollout().fromVersion());
    return switch (move.state().phase()) {
      case PENDING, TAKEN_BACK -> isOld;
      case DONE -> isNew;
      case STEPPING -> isNew ? move.share().allowsNew(localMaxRunning(move)) : isOld;
    };
  }

  /** Returns the version that the next request should go to when it has capacity, or empty. */
  public Optional<String> preferredVersion(String serviceId) {
    ServiceMove move = moves.get(serviceId);
    if (move == null || move.state().phase() != RolloutPhase.STEPPING) {
      return Optional.empty();
    }
    boolean prefersNew = move.share().prefersNew(localMaxRunning(move));
    return Optional.of(prefersNew ? move.rollout().toVersion() : move.rollout().fromVersion());
  }

  /** Counts a dispatch. */
  public void dispatched(String serviceId, String version) {
    ServiceMove move = moves.get(serviceId);
    if (move != null) {
      move.share().dispatched(version.equals(move.rollout().toVersion()));
    }
  }

  /** Ends the count of a dispatch that is no evidence: a refusal or a cancelled request. */
  public void ended(String serviceId, String version) {
    ServiceMove move = moves.get(serviceId);
    if (move != null) {
      move.share().completed(version.equals(move.rollout().toVersion()));
    }
  }

  /** Ends the count of a dispatch and takes its result as evidence. */
  public void completed(CompletedRequest request) {
    ended(request.serviceId(), request.version());
    ServiceMove move = moves.get(request.serviceId());
    if (move == null || !isOfMove(move, request.version())) {
      return;
    }
    move.record(request);
    readOwnCounts(move);
    move.evidence().fault().ifPresent(reason -> takeBack(move, reason));
  }

  @Override
  public void onTick(long nowNanos) {
    followConfig();
    for (ServiceMove move : moves.values()) {
      if (leadership.isLeader(move.service().id(), nowNanos)) {
        lead(move, nowNanos);
      } else {
        store.forget(move.service().id());
        follow(move, nowNanos);
      }
    }
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (message instanceof VersionFault fault) {
      ServiceMove move = moveOf(fault.serviceId(), fault.moveId());
      if (move != null) {
        takeBack(move, fault.reason());
      }
    } else if (message instanceof RolloutStateMessage state) {
      onState(state);
    } else if (message instanceof RolloutReport report) {
      onReport(fromInstanceId, report);
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    moves.forEach(
        (service, move) ->
            dump.put(
                service,
                Map.of(
                    "state", move.state(),
                    "provisional", move.isProvisional(),
                    "newVersionEnded", move.evidence().newEnded(),
                    "newVersionRunning", move.share().newRunning())));
    return dump;
  }

  private void followConfig() {
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    if (config.revision() == configRevision) {
      return;
    }
    configRevision = config.revision();
    Map<String, ServiceMove> previous = new HashMap<>(moves);
    moves.clear();
    for (ServiceDeclaration service : config.declarations().services()) {
      if (service.rollout().isEmpty()) {
        continue;
      }
      ServiceMove known = previous.get(service.id());
      boolean same = known != null && known.state().moveId().equals(RolloutState.moveId(service));
      moves.put(service.id(), same ? known : new ServiceMove(service));
    }
    publish();
  }

  private void lead(ServiceMove move, long nowNanos) {
    String serviceId = move.service().id();
    if (!store.isRead(serviceId)) {
      store.read(serviceId, nowNanos);
    }
    readOwnCounts(move);
    if (move.earnedMaxRunning() < move.fleetMaxRunning()) {
      nextStateNanos.put(serviceId, nowNanos);
    }
    move.limitRunning(move.earnedMaxRunning());
    Decision decision = StepPolicy.decide(move, epochMillis.getAsLong());
    if (isAllowed(decision, move)) {
      apply(move, decision);
      nextStateNanos.put(serviceId, nowNanos);
    }
    if (store.isRead(serviceId)) {
      store.write(move.state(), peers.selfSource(), nowNanos);
    }
    if (isDue(nextStateNanos, move, nowNanos, STATE_REPEAT_NANOS)) {
      peers.announce(move);
    }
  }

  /** A step up waits until the current step is stored; an end never waits for the store. */
  private boolean isAllowed(Decision decision, ServiceMove move) {
    return switch (decision) {
      case WAIT -> false;
      case STEP_UP ->
          store.isRead(move.service().id())
              && (move.state().phase() == RolloutPhase.PENDING || store.isStored(move.state()));
      case MARK_PASSED, FINISH, TAKE_BACK -> true;
    };
  }

  private void adopt(RolloutState stored) {
    ServiceMove move = moveOf(stored.serviceId(), stored.moveId());
    if (move != null) {
      enter(move, stored);
    }
  }

  private void apply(ServiceMove move, Decision decision) {
    RolloutState state = move.state();
    RolloutState next =
        switch (decision) {
          case STEP_UP ->
              state.with(
                  RolloutPhase.STEPPING,
                  state.phase() == RolloutPhase.PENDING ? 0 : state.step() + 1,
                  false,
                  "evidence sufficient for the next step");
          case MARK_PASSED ->
              state.with(RolloutPhase.STEPPING, state.step(), true, "last step passed");
          case FINISH ->
              state.with(RolloutPhase.DONE, state.step(), true, "moved by the stated time");
          case TAKE_BACK ->
              state.with(RolloutPhase.TAKEN_BACK, state.step(), false, takeBackReason(move));
          case WAIT -> state;
        };
    enter(move, next);
  }

  private static String takeBackReason(ServiceMove move) {
    return move.evidence().fault().orElse("evidence was not sufficient by the stated time");
  }

  private void follow(ServiceMove move, long nowNanos) {
    endAtDeadline(move);
    boolean urgent = move.takeReportDue();
    if (urgent) {
      nextReportNanos.merge(move.service().id(), nowNanos + URGENT_REPORT_NANOS, Math::min);
    }
    if (isDue(nextReportNanos, move, nowNanos, REPORT_NANOS)) {
      peers.report(move);
    }
  }

  /** Applies the deadline rule when the leader has not been heard in time. */
  private void endAtDeadline(ServiceMove move) {
    long overdueMillis = epochMillis.getAsLong() - move.rollout().moveBy().toEpochMilli();
    if (move.state().phase().isFinal() || overdueMillis < 0) {
      return;
    }
    boolean endsWell = StepPolicy.endsWell(move.state(), move);
    RolloutPhase phase = endsWell ? RolloutPhase.DONE : RolloutPhase.TAKEN_BACK;
    move.endProvisionally(
        move.state().with(phase, move.state().step(), endsWell, "deadline rule of this instance"),
        epochMillis.getAsLong());
    logState(move);
    publish();
  }

  private void onState(RolloutStateMessage message) {
    ServiceMove move = moveOf(message.serviceId(), message.moveId());
    Optional<RolloutPhase> phase = phaseOf(message.phase());
    if (move == null || phase.isEmpty() || message.step() >= move.rollout().shareSteps().size()) {
      return;
    }
    move.limitRunning(message.maxRunning());
    enter(
        move,
        new RolloutState(
            message.serviceId(),
            message.moveId(),
            phase.get(),
            message.sequence(),
            message.step(),
            message.stepPassed(),
            message.reason()));
  }

  private static Optional<RolloutPhase> phaseOf(String name) {
    for (RolloutPhase phase : RolloutPhase.values()) {
      if (phase.name().equals(name)) {
        return Optional.of(phase);
      }
    }
    return Optional.empty();
  }

  private void onReport(String fromInstanceId, RolloutReport report) {
    ServiceMove move = moveOf(report.serviceId(), report.moveId());
    if (move == null) {
      return;
    }
    String source = fromInstanceId + "#" + report.incarnation();
    for (RouteCounters reading : report.counters()) {
      if (reading.ended() >= reading.failed() + reading.slow()) {
        move.evidence()
            .read(
                source,
                reading.route(),
                reading.newVersion(),
                new RouteCounts(reading.ended(), reading.failed(), reading.slow()));
      }
    }
    move.evidence().fault().ifPresent(reason -> takeBack(move, reason));
  }

  private void takeBack(ServiceMove move, String reason) {
    if (move.state().phase() == RolloutPhase.TAKEN_BACK && !move.isProvisional()) {
      return;
    }
    RolloutState state = move.state();
    enter(move, state.with(RolloutPhase.TAKEN_BACK, state.step(), false, reason));
    peers.sendToAll(new VersionFault(move.service().id(), state.moveId(), reason));
  }

  private void enter(ServiceMove move, RolloutState next) {
    if (move.enter(next, epochMillis.getAsLong())) {
      logState(move);
      publish();
    }
  }

  private void readOwnCounts(ServiceMove move) {
    String source = peers.selfSource();
    for (RouteCounters reading : move.readings()) {
      move.evidence()
          .read(
              source,
              reading.route(),
              reading.newVersion(),
              new RouteCounts(reading.ended(), reading.failed(), reading.slow()));
    }
  }

  /** Returns the key whose endpoint shard decides the leader of a service's move. */
  public static String leadershipKey(String serviceId) {
    return "rollout/" + serviceId;
  }

  private ServiceMove moveOf(String serviceId, String moveId) {
    ServiceMove move = moves.get(serviceId);
    return move != null && move.state().moveId().equals(moveId) ? move : null;
  }

  private int localMaxRunning(ServiceMove move) {
    int share = peers.localShareOf(move.fleetMaxRunning());
    return move.isCautious() ? Math.min(1, share) : share;
  }

  private static boolean isOfMove(ServiceMove move, String version) {
    return version.equals(move.rollout().toVersion())
        || version.equals(move.rollout().fromVersion());
  }

  private boolean isActiveVersion(String serviceId, String version) {
    for (ServiceDeclaration service :
        blackboard.read(ConfigSnapshot.ENTRY).declarations().services()) {
      if (service.id().equals(serviceId)) {
        return service.activeVersion().equals(version);
      }
    }
    return false;
  }

  private static boolean isDue(
      Map<String, Long> nextNanos, ServiceMove move, long nowNanos, long periodNanos) {
    Long next = nextNanos.get(move.service().id());
    if (next != null && nowNanos - next < 0) {
      return false;
    }
    nextNanos.put(move.service().id(), nowNanos + periodNanos);
    return true;
  }

  private void logState(ServiceMove move) {
    RolloutState state = move.state();
    LOG.infof(
        "rollout.state service=%s move=%s phase=%s step=%d passed=%s reason=%s",
        state.serviceId(),
        state.moveId(),
        state.phase(),
        state.step(),
        state.stepPassed(),
        state.reason());
  }

  private void publish() {
    Map<String, RolloutState> states = new TreeMap<>();
    moves.forEach((service, move) -> states.put(service, move.state()));
    writer.accept(Map.copyOf(states));
  }
}
