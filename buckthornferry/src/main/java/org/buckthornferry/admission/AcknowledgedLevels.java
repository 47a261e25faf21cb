package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The shed level proposals that this instance has acknowledged, by proposer. */
final class AcknowledgedLevels {
  /**
   * How long this instance keeps refusing {@link Tier#BULK} after it drops a proposal of a dead
   * proposer at {@link ShedLevel#STANDARD} or above. Another instance may have acknowledged {@link
   * ShedLevel#CRITICAL} for that proposer and refuse {@link Tier#STANDARD} until it detects the
   * failure. The time covers the difference between the membership views of two instances.
   */
  static final long FAILURE_DETECTION_SKEW_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<String, Proposal> proposals = new HashMap<>();
  private long graceUntilNanos;
  private boolean hasGracePeriod;

  record Proposal(ShedLevel level, long incarnation, long epoch) {
    boolean isNewerThan(long otherIncarnation, long otherEpoch) {
      return incarnation != otherIncarnation ? incarnation > otherIncarnation : epoch > otherEpoch;
    }
  }

  /** Records a proposal; returns false if a newer one of the same proposer is known. */
  boolean record(String proposer, Proposal proposal, long nowNanos) {
    Proposal known = proposals.get(proposer);
    if (known != null && known.isNewerThan(proposal.incarnation, proposal.epoch)) {
      return false;
    }
    if (known != null && known.incarnation != proposal.incarnation) {
      startGracePeriod(known, nowNanos);
    }
    proposals.put(proposer, proposal);
    return true;
  }

  /** Drops the proposals of proposers that are not alive. */
  void retain(Predicate<String> isAlive, long nowNanos) {
    Iterator<Map.Entry<String, Proposal>> iterator = proposals.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, Proposal> entry = iterator.next();
      if (!isAlive.test(entry.getKey())) {
        startGracePeriod(entry.getValue(), nowNanos);
        iterator.remove();
      }
    }
  }

  /** Returns the highest acknowledged level over all proposers. */
  ShedLevel level(long nowNanos) {
    ShedLevel level = ShedLevel.NONE;
    if (hasGracePeriod && graceUntilNanos - nowNanos > 0) {
      level = ShedLevel.STANDARD;
    }
    for (Proposal proposal : proposals.values()) {
      level = ShedLevel.max(level, proposal.level);
    }
    return level;
  }

  /**
   * Handles the level that a peer reports when this instance joins. The peer may have acknowledged
   * it for a proposer that died before this instance could receive the proposal.
   */
  void onPeerLevel(ShedLevel acknowledged, long nowNanos) {
    if (acknowledged.refuses(Tier.BULK)) {
      hasGracePeriod = true;
      graceUntilNanos = nowNanos + FAILURE_DETECTION_SKEW_NANOS;
    }
  }

  private void startGracePeriod(Proposal dropped, long nowNanos) {
    onPeerLevel(dropped.level, nowNanos);
  }
}
