package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The shed levels that this instance acknowledged, by proposer. */
final class HoldTable {
  /**
   * How long this instance keeps refusing {@link Tier#BULK} after it drops a hold at {@link
   * ShedLevel#CRITICAL} of a dead proposer. Another instance that still has that hold refuses
   * {@link Tier#STANDARD}; the time covers the difference between the views of two members.
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

  private void keepResidual(Hold dropped, long nowNanos) {
    if (dropped.level == ShedLevel.CRITICAL) {
      hasResidual = true;
      residualUntilNanos = nowNanos + DEATH_SPREAD_NANOS;
    }
  }
}
