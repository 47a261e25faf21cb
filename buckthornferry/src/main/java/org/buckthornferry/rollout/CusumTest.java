package org.buckthornferry.rollout;

import org.buckthornferry.util.Checks;

/**
 * A sequential likelihood-ratio test for an increased rate of bad requests, in its cumulative-sum
 * form (CUSUM). The sum never falls below zero, so that a version that degrades after many good
 * requests is detected as fast as one that is bad from the start.
 */
final class CusumTest {
  /**
   * The sum at which a fault is detected. At a base rate of 0.2% and a fault rate 5 points above, 4
   * failures among 20 requests or 5 among 80 reach it. A threshold of 9 rolled back a sound version
   * in one of about 20 rollouts of 36,000 requests.
   */
  static final double FAULT_THRESHOLD = 12.5;

  private double sum;

  /**
   * Adds a batch of requests.
   *
   * @param bad the bad requests in the batch
   * @param good the other requests in the batch
   * @param baseRate the rate of bad requests of a sound version, in (0, 1)
   * @param faultRate the rate of bad requests of a faulty version, above {@code baseRate}
   */
  void add(long bad, long good, double baseRate, double faultRate) {
    Checks.check(baseRate > 0 && faultRate > baseRate && faultRate < 1, "rates must increase");
    sum += bad * Math.log(faultRate / baseRate);
    sum = Math.max(0, sum + good * Math.log((1 - faultRate) / (1 - baseRate)));
  }

  /** Returns whether the sum has reached the fault threshold. */
  boolean showsFault() {
    return sum >= FAULT_THRESHOLD;
  }

  /** Returns whether there is currently no evidence for a fault. */
  boolean isClear() {
    return sum == 0;
  }

  double sum() {
    return sum;
  }
}
