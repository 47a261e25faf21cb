package org.buckthornferry.concurrency;

import java.util.Arrays;

/**
 * Tells a lasting change of an endpoint's speed from noise: nearly all of the last answers deviate
 * in the same direction, over a longer time than a disturbance lasts.
 */
final class ChangeDetector {
  private static final int WINDOW = 5;

  /** Smaller changes are left to the moving averages. */
  private static final double CHANGE_FACTOR = 1.6;

  /** Longer than the disturbances of 600 ms that are seen on shared hardware. */
  private static final long MIN_SPAN_NANOS = 700_000_000L;

  private final double[] ratios = new double[WINDOW];
  private final long[] timesNanos = new long[WINDOW];
  private int count;

  /**
   * Adds the ratio of a measured time to the expected one.
   *
   * @return the factor by which the times have changed; 1 for none
   */
  double add(double ratio, long nowNanos) {
    int index = count % WINDOW;
    ratios[index] = ratio;
    timesNanos[index] = nowNanos;
    count++;
    if (count < WINDOW) {
      return 1;
    }
    long spanNanos = nowNanos - timesNanos[count % WINDOW];
    if (spanNanos < MIN_SPAN_NANOS) {
      return 1;
    }
    double[] sorted = ratios.clone();
    Arrays.sort(sorted);
    boolean isSlower = sorted[1] > CHANGE_FACTOR;
    boolean isFaster = sorted[WINDOW - 2] < 1 / CHANGE_FACTOR;
    if (!isSlower && !isFaster) {
      return 1;
    }
    count = 0;
    return sorted[WINDOW / 2];
  }
}
