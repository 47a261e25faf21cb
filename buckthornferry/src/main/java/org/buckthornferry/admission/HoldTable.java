package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The shed levels that this instance acknowledged, by proposer. */
final class HoldTable {
  /**
   * How long this instance keeps refusing {@link Tier#BULK} after it drops a hold of a dead
   * proposer at {@link ShedLevel#STANDARD} or above. Another instance may hold {@link
   * ShedLevel#CRITICAL} for that proposer, and so refuse {@link Tier#STANDARD}, until it learns of
   * the death; the time covers the difference between the views of two members.
   */
  static final long DEATH_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<String, Hold> holds = new HashMap<>();
  private long residualUntilNanos;
  private boolean hasResidual;

  record Hold(ShedLevel level, long incarnation, long epoch) {
    boolean isNewerThan(long otherIncarnation, long otherEpoch) {
      return incarnation != otherIncarnation ? incarnation > otherIncarnation : epoch > otherEpoch;
    }
  }

  /** Records a proposal; returns false when a newer one of the same proposer is known. */
  boolean record(String proposer, Hold hold, long nowNanos) {
    Hold known = holds.get(proposer);
    if (known != null && known.isNewerThan(hold.incarnation, hold.epoch)) {
      return false;
    }
    if (known != null && known.incarnation != hold.incarnation) {
      keepResidual(known, nowNanos);
    }
    holds.put(proposer, hold);
    return true;
  }

  /** Drops the holds of proposers that are no longer alive. */
  void retain(Predicate<String> isAlive, long nowNanos) {
    Iterator<Map.Entry<String, Hold>> iterator = holds.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, Hold> entry = iterator.next();
      if (!isAlive.test(entry.getKey())) {
        keepResidual(entry.getValue(), nowNanos);
        iterator.remove();
      }
    }
  }

  /** Returns the highest level held for any proposer. */
  ShedLevel level(long nowNanos) {
    ShedLevel level = ShedLevel.NONE;
    if (hasResidual && residualUntilNanos - nowNanos > 0) {
      level = ShedLevel.STANDARD;
    }
    for (Hold hold : holds.values()) {
      level = ShedLevel.max(level, hold.level);
    }
    return level;
  }

  /**
   * Handles the level of a peer at the time of joining. The peer may hold it for a proposer that
   * died before this instance could learn of the proposal.
   */
  void onPeerLevel(ShedLevel acknowledged, long nowNanos) {
    if (acknowledged.refuses(Tier.BULK)) {
      hasResidual = true;
      residualUntilNanos = nowNanos + DEATH_SPREAD_NANOS;
    }
  }

  private void keepResidual(Hold dropped, long nowNanos) {
    onPeerLevel(dropped.level, nowNanos);
  }
}
