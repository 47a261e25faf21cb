package org.buckthornferry.rollout;

import org.buckthornferry.util.Checks;

/**
 * Counts of ended requests of one route and version, by outcome.
 *
 * @param ended all requests that ended, including failed and slow ones
 * @param failed requests that the endpoint failed
 * @param slow successful requests above the latency limit of the rollout
 */
public record RouteCounts(long ended, long failed, long slow) {
  /** Counts of zero requests. */
  public static final RouteCounts ZERO = new RouteCounts(0, 0, 0);

  /** Checks that the counts are consistent. */
  public RouteCounts {
    Checks.notNegative(failed, "failed");
    Checks.notNegative(slow, "slow");
    Checks.check(ended >= failed + slow, "ended must include failed and slow requests");
  }

  RouteCounts plusOne(boolean wasFailed, boolean wasSlow) {
    return new RouteCounts(
        ended + 1, failed + (wasFailed ? 1 : 0), slow + (wasSlow && !wasFailed ? 1 : 0));
  }

  /** Returns the sum of two counts. */
  public RouteCounts plus(RouteCounts other) {
    return new RouteCounts(ended + other.ended, failed + other.failed, slow + other.slow);
  }

  /** Returns the increase since an earlier reading of the same counters. */
  RouteCounts minus(RouteCounts earlier) {
    return new RouteCounts(
        Math.max(0, ended - earlier.ended),
        Math.max(0, Math.min(failed - earlier.failed, ended - earlier.ended)),
        Math.max(
            0, Math.min(slow - earlier.slow, ended - earlier.ended - failed + earlier.failed)));
  }

  /** Returns the later of two readings of the same counters. */
  RouteCounts latest(RouteCounts other) {
    return other.ended > ended ? other : this;
  }
}
