package org.buckthornferry.endpoint;

/**
 * A smoothed mean that a single outlier cannot move far: a sample counts at most as four times, and
 * at least as a quarter of, the present value once some samples are known.
 */
final class RobustMean {
  private static final int TRUSTED_SAMPLES = 5;
  private static final double CLIP_RATIO = 4;
  private static final double MIN_STEP = 0.05;

  private double value;
  private long count;

  /** Creates a mean that starts from an estimate, which the first sample replaces. */
  RobustMean(double estimate) {
    value = estimate;
  }

  double value() {
    return value;
  }

  boolean isMeasured() {
    return count > 0;
  }

  void add(double sample) {
    double clipped = sample;
    if (count >= TRUSTED_SAMPLES) {
      clipped = Math.max(value / CLIP_RATIO, Math.min(value * CLIP_RATIO, sample));
    }
    count++;
    value += (clipped - value) * Math.max(MIN_STEP, 1.0 / count);
  }
}
