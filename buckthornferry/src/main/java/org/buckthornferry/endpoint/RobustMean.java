package org.buckthornferry.endpoint;

/**
 * An exponentially smoothed mean that limits the effect of outliers: after the first few samples, a
 * sample is clipped to between a quarter of and four times the current value.
 */
final class RobustMean {
  private static final int MIN_SAMPLES_TO_CLIP = 5;
  private static final double CLIP_RATIO = 4;
  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  private double value;
  private long count;

  /** Creates a mean with an initial estimate, which the first sample replaces. */
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
    if (count >= MIN_SAMPLES_TO_CLIP) {
      clipped = Math.max(value / CLIP_RATIO, Math.min(value * CLIP_RATIO, sample));
    }
    count++;
    value += (clipped - value) * Math.max(MIN_SMOOTHING_FACTOR, 1.0 / count);
  }
}
