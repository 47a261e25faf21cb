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
 * The shed level of one service at one instance. Each instance proposes its own level and sheds
 * only by its own proposal, after every serving peer has acknowledged it. A peer's proposal only
 * requires this instance to refuse lower tiers, so instances need no agreed order of proposals. A
 * proposal changes the level by one tier at a time, up or down, so the levels that two instances
 * acknowledge for one proposer differ by at most one.
 */
final class ShedAgreement {
  /** How long the wait must stay below the low-water mark before the level is lowered. */
  static final long LOWER_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final Logger LOG = Logger.getLogger(ShedAgreement.class);

  /**
   * The minimum duration of a join. Two instances that start or resume at the same time may not see
   * each other at first; after this time, membership lists both.
   */
  static final long MIN_JOIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long RESEND_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long REQUEST_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final String serviceId;
  private final long incarnation;
  private final ServingPeers peers;
  private final PeerSender sender;
  private final AcknowledgedLevels acknowledgedLevels = new AcknowledgedLevels();
  private final Map<String, Ack> acks = new HashMap<>();
  private final Set<String> notifiedPeers = new HashSet<>();
  private final Set<String> joinRepliesFrom = new HashSet<>();
  private ShedLevel proposed = ShedLevel.NONE;
  private boolean lastWasLower;
  private long epoch;
  private long joinEpoch;
  private long joinStartNanos;
  private boolean joined;
  private long nextResendNanos;
  private ShedLevel requestedLevel = ShedLevel.NONE;
  private long requestUntilNanos;
  private long belowLowWaterSinceNanos;
  private boolean belowLowWater;

  private record Ack(ShedLevel level, long incarnation, long epoch) {}

  ShedAgreement(
      String serviceId, long incarnation, ServingPeers peers, PeerSender sender, long nowNanos) {
    this.serviceId = serviceId;
    this.incarnation = incarnation;
    this.peers = peers;
    this.sender = sender;
    join(nowNanos);
  }

  /**
   * Starts to collect the proposals of all peers; the instance does not serve until it has them.
   */
  void join(long nowNanos) {
    joined = false;
    // Peers that declared this instance dead have already dropped its proposal of CRITICAL.
    // Proposing it again would raise their level by more than one step.
    proposed = proposed == ShedLevel.CRITICAL ? ShedLevel.STANDARD : proposed;
    lastWasLower = false;
    epoch++;
    joinEpoch = epoch;
    joinStartNanos = nowNanos;
    acks.clear();
    joinRepliesFrom.clear();
    belowLowWater = false;
    requestedLevel = ShedLevel.NONE;
    nextResendNanos = nowNanos;
  }

  boolean isJoined() {
    return joined;
  }

  /** Returns the level by which this instance refuses lower tiers. */
  ShedLevel acknowledged(long nowNanos) {
    return ShedLevel.max(proposed, acknowledgedLevels.level(nowNanos));
  }

  /** Returns the level by which this instance may shed: its own, as acknowledged by all peers. */
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

  void requestLevel(ShedLevel level, long nowNanos) {
    requestedLevel =
        requestUntilNanos - nowNanos > 0 ? ShedLevel.max(requestedLevel, level) : level;
    requestUntilNanos = nowNanos + REQUEST_TTL_NANOS;
  }

  void observeWait(boolean isBelowLowWater, long nowNanos) {
    if (isBelowLowWater && !belowLowWater) {
      belowLowWaterSinceNanos = nowNanos;
    }
    belowLowWater = isBelowLowWater;
  }

  void onTick(long nowNanos) {
    Set<String> ids = peers.ids(nowNanos);
    acknowledgedLevels.retain(ids::contains, nowNanos);
    acks.keySet().retainAll(ids);
    notifiedPeers.retainAll(ids);
    completeJoin(ids, nowNanos);
    adjustLevel(ids, nowNanos);
    if (nextResendNanos - nowNanos <= 0) {
      nextResendNanos = nowNanos + RESEND_PERIOD_NANOS;
      resendUnacknowledged(ids);
    }
  }

  void onPropose(String from, ShedProposal message, long nowNanos) {
    // A reply to an earlier join, or to an earlier process of this instance, may be out of date.
    boolean isJoinReply =
        message.answersEpoch() == joinEpoch && message.answersIncarnation() == incarnation;
    if (isJoinReply && !joined) {
      joinRepliesFrom.add(from);
      acknowledgedLevels.onPeerLevel(message.acknowledged(), nowNanos);
      message.participants().forEach(id -> peers.onPeerReported(id, nowNanos));
    }
    if (!acknowledge(from, message.level(), message.incarnation(), message.epoch(), nowNanos)) {
      return;
    }
    if (message.joining()) {
      peers.onContact(from, nowNanos);
      acks.remove(from);
      sender.send(from, joinReply(message, nowNanos));
      markNotified(from);
    }
  }

  void onLower(String from, ShedLevelReduction message, long nowNanos) {
    acknowledge(from, message.level(), message.incarnation(), message.epoch(), nowNanos);
  }

  void onAck(String from, ShedAck message, long nowNanos) {
    boolean current = message.proposerIncarnation() == incarnation && message.epoch() == epoch;
    Ack known = acks.get(from);
    if (!current || (known != null && known.incarnation > message.incarnation())) {
      return;
    }
    acks.put(from, new Ack(message.level(), message.incarnation(), message.epoch()));
    message.participants().forEach(id -> peers.onPeerReported(id, nowNanos));
  }

  private boolean acknowledge(
      String from, ShedLevel level, long proposerIncarnation, long proposalEpoch, long nowNanos) {
    if (!acknowledgedLevels.record(
        from,
        new AcknowledgedLevels.Proposal(level, proposerIncarnation, proposalEpoch),
        nowNanos)) {
      return false;
    }
    List<String> participants = List.copyOf(peers.ids(nowNanos));
    sender.send(
        from,
        new ShedAck(
            serviceId, level, incarnation, proposerIncarnation, proposalEpoch, participants));
    return true;
  }

  private void completeJoin(Set<String> ids, long nowNanos) {
    boolean minJoinElapsed = nowNanos - joinStartNanos >= MIN_JOIN_NANOS;
    if (!joined && minJoinElapsed && peers.isViewKnown() && joinRepliesFrom.containsAll(ids)) {
      joined = true;
      LOG.debugf("shed.joined service=%s level=%s", serviceId, proposed);
    }
  }

  private void adjustLevel(Set<String> ids, long nowNanos) {
    if (!joined || !isSettled(ids, nowNanos)) {
      return;
    }
    ShedLevel target = requestUntilNanos - nowNanos > 0 ? requestedLevel : ShedLevel.NONE;
    if (target.compareTo(proposed) > 0) {
      propose(proposed.raised(), false, ids, nowNanos);
    } else if (belowLowWater && nowNanos - belowLowWaterSinceNanos >= LOWER_AFTER_NANOS) {
      if (proposed != ShedLevel.NONE && target.compareTo(proposed) < 0) {
        belowLowWaterSinceNanos = nowNanos;
        propose(proposed.lowered(), true, ids, nowNanos);
      }
    }
  }

  private void propose(ShedLevel level, boolean isLower, Set<String> ids, long nowNanos) {
    LOG.debugf("shed.level service=%s from=%s to=%s", serviceId, proposed, level);
    proposed = level;
    lastWasLower = isLower;
    epoch++;
    if (isLower) {
      // A peer may apply the lower level before its acknowledgement arrives.
      acks.replaceAll((id, ack) -> new Ack(min(ack.level, level), ack.incarnation, ack.epoch));
    }
    nextResendNanos = nowNanos + RESEND_PERIOD_NANOS;
    resendUnacknowledged(ids);
  }

  /** Returns whether every peer has acknowledged the latest proposal. */
  private boolean isSettled(Set<String> ids, long nowNanos) {
    if (proposed == ShedLevel.NONE) {
      return ids.stream().allMatch(id -> !notifiedPeers.contains(id) || hasAcked(id));
    }
    return inForce(nowNanos) == proposed && ids.stream().allMatch(this::hasAcked);
  }

  private boolean hasAcked(String peer) {
    Ack ack = acks.get(peer);
    return ack != null && ack.epoch == epoch && ack.incarnation >= peers.incarnationOf(peer);
  }

  private void resendUnacknowledged(Set<String> ids) {
    for (String peer : ids) {
      boolean mustNotify = proposed != ShedLevel.NONE || notifiedPeers.contains(peer);
      if (!joined && !joinRepliesFrom.contains(peer)) {
        sender.send(peer, proposal(true));
        markNotified(peer);
      } else if (mustNotify && !hasAcked(peer)) {
        sender.send(peer, latestProposal());
        markNotified(peer);
      }
    }
  }

  private void markNotified(String peer) {
    if (proposed != ShedLevel.NONE) {
      notifiedPeers.add(peer);
    }
  }

  private PeerMessage latestProposal() {
    return lastWasLower
        ? new ShedLevelReduction(serviceId, proposed, incarnation, epoch)
        : proposal(false);
  }

  private ShedProposal proposal(boolean joining) {
    return new ShedProposal(
        serviceId, proposed, incarnation, epoch, joining, 0, 0, ShedLevel.NONE, List.of());
  }

  private ShedProposal joinReply(ShedProposal joining, long nowNanos) {
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

  private static ShedLevel min(ShedLevel a, ShedLevel b) {
    return a.compareTo(b) < 0 ? a : b;
  }
}
