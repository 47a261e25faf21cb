package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.ShedAck;
import org.buckthornferry.peer.ShedLevelReduction;
import org.buckthornferry.peer.ShedProposal;
import org.jboss.logging.Logger;

/**
 * The shed level of one service at one instance. Each instance proposes a level in its own name and
 * sheds only by its own proposal, once every serving peer has acknowledged it; what peers propose
 * only obliges it to refuse lower tiers. No two instances therefore need to agree on an order of
 * proposals. Proposals move by one tier at a time, in both directions, so the levels that two
 * instances hold for one proposer differ by at most one.
 */
final class ShedAgreement {
  /** How long the wait must stay below the low-water mark before the level is lowered. */
  static final long LOWER_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final Logger LOG = Logger.getLogger(ShedAgreement.class);

  /**
   * The least time between the start of a join and its end. Two instances that pause or start at
   * the same time may not see each other at first; membership shows them to each other by then.
   */
  static final long JOIN_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long WISH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final String serviceId;
  private final long incarnation;
  private final ServingPeers peers;
  private final PeerSender sender;
  private final HoldTable holds = new HoldTable();
  private final Map<String, Ack> acks = new HashMap<>();
  private final Set<String> informed = new HashSet<>();
  private final Set<String> answered = new HashSet<>();
  private ShedLevel proposed = ShedLevel.NONE;
  private boolean lastWasLower;
  private long epoch;
  private long joinEpoch;
  private long joinStartNanos;
  private boolean joined;
  private long resendAtNanos;
  private ShedLevel wish = ShedLevel.NONE;
  private long wishUntilNanos;
  private long lowSinceNanos;
  private boolean low;

  private record Ack(ShedLevel level, long incarnation, long epoch) {}

  ShedAgreement(
      String serviceId, long incarnation, ServingPeers peers, PeerSender sender, long nowNanos) {
    this.serviceId = serviceId;
    this.incarnation = incarnation;
    this.peers = peers;
    this.sender = sender;
    join(nowNanos);
  }

  /** Starts to learn the proposals of all peers; until then the instance does not serve. */
  void join(long nowNanos) {
    joined = false;
    // Peers that took this instance for dead have dropped a hold at CRITICAL already. Proposing it
    // again would skip the step by step raise.
    proposed = proposed == ShedLevel.CRITICAL ? ShedLevel.STANDARD : proposed;
    lastWasLower = false;
    epoch++;
    joinEpoch = epoch;
    joinStartNanos = nowNanos;
    acks.clear();
    answered.clear();
    low = false;
    wish = ShedLevel.NONE;
    resendAtNanos = nowNanos;
  }

  boolean isJoined() {
    return joined;
  }

  /** Returns the level by which this instance refuses lower tiers. */
  ShedLevel acknowledged(long nowNanos) {
    return ShedLevel.max(proposed, holds.level(nowNanos));
  }

  /** Returns the level by which this instance may shed: its own, as far as all peers hold it. */
  ShedLevel inForce(long nowNanos) {
    if (!joined || proposed == ShedLevel.NONE) {
      return ShedLevel.NONE;
    }
    ShedLevel level = proposed;
    for (String peer : peers.ids(nowNanos)) {
      Ack ack = acks.get(peer);
      if (ack == null || ack.incarnation < peers.incarnationOf(peer)) {
        return ShedLevel.NONE;
      }
      level = ack.level.compareTo(level) < 0 ? ack.level : level;
    }
    return level;
  }

  void wish(ShedLevel level, long nowNanos) {
    wish = wishUntilNanos - nowNanos > 0 ? ShedLevel.max(wish, level) : level;
    wishUntilNanos = nowNanos + WISH_NANOS;
  }

  void observeWait(boolean belowLowWater, long nowNanos) {
    if (belowLowWater && !low) {
      lowSinceNanos = nowNanos;
    }
    low = belowLowWater;
  }

  void onTick(long nowNanos) {
    Set<String> ids = peers.ids(nowNanos);
    holds.retain(ids::contains, nowNanos);
    acks.keySet().retainAll(ids);
    informed.retainAll(ids);
    completeJoin(ids, nowNanos);
    move(ids, nowNanos);
    if (resendAtNanos - nowNanos <= 0) {
      resendAtNanos = nowNanos + RESEND_NANOS;
      sendToWaiting(ids);
    }
  }

  void onPropose(String from, ShedProposal message, long nowNanos) {
    // An old answer, even one to an earlier process of this instance, may be out of date.
    boolean answers =
        message.answersEpoch() == joinEpoch && message.answersIncarnation() == incarnation;
    if (answers && !joined) {
      answered.add(from);
      holds.onPeerLevel(message.acknowledged(), nowNanos);
      message.participants().forEach(id -> peers.introduce(id, nowNanos));
    }
    if (!hold(from, message.level(), message.incarnation(), message.epoch(), nowNanos)) {
      return;
    }
    if (message.joining()) {
      peers.contact(from, nowNanos);
      acks.remove(from);
      sender.send(from, answer(message, nowNanos));
      remember(from);
    }
  }

  void onLower(String from, ShedLevelReduction message, long nowNanos) {
    hold(from, message.level(), message.incarnation(), message.epoch(), nowNanos);
  }

  void onAck(String from, ShedAck message, long nowNanos) {
    boolean current = message.proposerIncarnation() == incarnation && message.epoch() == epoch;
    Ack known = acks.get(from);
    if (!current || (known != null && known.incarnation > message.incarnation())) {
      return;
    }
    acks.put(from, new Ack(message.level(), message.incarnation(), message.epoch()));
    message.participants().forEach(id -> peers.introduce(id, nowNanos));
  }

  private boolean hold(String from, ShedLevel level, long inc, long atEpoch, long nowNanos) {
    if (!holds.record(from, new HoldTable.Hold(level, inc, atEpoch), nowNanos)) {
      return false;
    }
    List<String> participants = List.copyOf(peers.ids(nowNanos));
    sender.send(from, new ShedAck(serviceId, level, incarnation, inc, atEpoch, participants));
    return true;
  }

  private void completeJoin(Set<String> ids, long nowNanos) {
    boolean settled = nowNanos - joinStartNanos >= JOIN_SETTLE_NANOS;
    if (!joined && settled && peers.isViewKnown() && answered.containsAll(ids)) {
      joined = true;
      LOG.debugf("shed.joined service=%s level=%s", serviceId, proposed);
    }
  }

  private void move(Set<String> ids, long nowNanos) {
    if (!joined || !isSettled(ids, nowNanos)) {
      return;
    }
    ShedLevel target = wishUntilNanos - nowNanos > 0 ? wish : ShedLevel.NONE;
    if (target.compareTo(proposed) > 0) {
      moveTo(proposed.raised(), false, ids, nowNanos);
    } else if (low && nowNanos - lowSinceNanos >= LOWER_AFTER_NANOS) {
      if (proposed != ShedLevel.NONE && target.compareTo(proposed) < 0) {
        lowSinceNanos = nowNanos;
        moveTo(proposed.lowered(), true, ids, nowNanos);
      }
    }
  }

  private void moveTo(ShedLevel level, boolean lower, Set<String> ids, long nowNanos) {
    LOG.debugf("shed.level service=%s from=%s to=%s", serviceId, proposed, level);
    proposed = level;
    lastWasLower = lower;
    epoch++;
    if (lower) {
      // A peer may act by the lower level before its acknowledgement arrives.
      acks.replaceAll((id, ack) -> new Ack(lesser(ack.level, level), ack.incarnation, ack.epoch));
    }
    resendAtNanos = nowNanos + RESEND_NANOS;
    sendToWaiting(ids);
  }

  /** Returns whether every peer has acknowledged the latest proposal. */
  private boolean isSettled(Set<String> ids, long nowNanos) {
    if (proposed == ShedLevel.NONE) {
      return ids.stream().allMatch(id -> !informed.contains(id) || hasAcked(id));
    }
    return inForce(nowNanos) == proposed && ids.stream().allMatch(this::hasAcked);
  }

  private boolean hasAcked(String peer) {
    Ack ack = acks.get(peer);
    return ack != null && ack.epoch == epoch && ack.incarnation >= peers.incarnationOf(peer);
  }

  private void sendToWaiting(Set<String> ids) {
    for (String peer : ids) {
      boolean mustKnow = proposed != ShedLevel.NONE || informed.contains(peer);
      if (!joined && !answered.contains(peer)) {
        sender.send(peer, proposal(true));
        remember(peer);
      } else if (mustKnow && !hasAcked(peer)) {
        sender.send(peer, latest());
        remember(peer);
      }
    }
  }

  private void remember(String peer) {
    if (proposed != ShedLevel.NONE) {
      informed.add(peer);
    }
  }

  private PeerMessage latest() {
    return lastWasLower
        ? new ShedLevelReduction(serviceId, proposed, incarnation, epoch)
        : proposal(false);
  }

  private ShedProposal proposal(boolean joining) {
    return new ShedProposal(
        serviceId, proposed, incarnation, epoch, joining, 0, 0, ShedLevel.NONE, List.of());
  }

  private ShedProposal answer(ShedProposal joining, long nowNanos) {
    return new ShedProposal(
        serviceId,
        proposed,
        incarnation,
        epoch,
        false,
        joining.epoch(),
        joining.incarnation(),
        acknowledged(nowNanos),
        List.copyOf(peers.ids(nowNanos)));
  }

  private static ShedLevel lesser(ShedLevel a, ShedLevel b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
