package org.buckthornferry.concurrency;

import java.util.Arrays;

/**
 * A quantity over the concurrency of an endpoint: decayed means at each level, and a straight line
 * through them for levels with few samples.
 */
final class LevelCurve {
  /** The number of samples at a level that count as much as the line. */
  private static final double LINE_WEIGHT = 3;

  /** The weight of the expected slope in the fit of the line, in samples at distance one. */
  private static final double SLOPE_WEIGHT = 2;

  /** The smallest time without load as a share of the mean time. */
  private static final double MIN_INTERCEPT_SHARE = 0.2;

  private final double[] weights;
  private final double[] means;
  private final double absoluteSlope;
  private final double relativeSlope;
  private double totalWeight;
  private double intercept;
  private double slope;

  /**
   * Creates a curve without samples.
   *
   * @param levels the largest concurrency
   * @param absoluteSlope the part of the expected slope that does not depend on the mean
   * @param relativeSlope the part of the expected slope as a share of the mean
   */
  LevelCurve(int levels, double absoluteSlope, double relativeSlope) {
    weights = new double[levels + 1];
    means = new double[levels + 1];
    this.absoluteSlope = absoluteSlope;
    this.relativeSlope = relativeSlope;
    slope = absoluteSlope;
  }

  /** Multiplies the weight of all samples. */
  void decay(double factor) {
    for (int level = 1; level < weights.length; level++) {
      weights[level] *= factor;
    }
    totalWeight *= factor;
  }

  /** Multiplies the values of all samples, after a change of speed. */
  void scale(double factor) {
    for (int level = 1; level < means.length; level++) {
      means[level] *= factor;
    }
    fit();
  }

  /** Forgets all samples. */
  void clear() {
    Arrays.fill(weights, 0);
    totalWeight = 0;
    intercept = 0;
    slope = absoluteSlope;
  }

  /** Adds a sample and fits the line. */
  void add(int level, double value) {
    weights[level]++;
    totalWeight++;
    means[level] += (value - means[level]) / weights[level];
    fit();
  }

  private void fit() {
    double sum = 0;
    double sumLevel = 0;
    double sumSquare = 0;
    double sumValue = 0;
    double sumProduct = 0;
    for (int level = 1; level < weights.length; level++) {
      double weight = weights[level];
      int distance = level - 1;
      sum += weight;
      sumLevel += weight * distance;
      sumSquare += weight * distance * distance;
      sumValue += weight * means[level];
      sumProduct += weight * distance * means[level];
    }
    if (sum <= 0) {
      return;
    }
    totalWeight = sum;
    double mean = sumValue / sum;
    double expectedSlope = absoluteSlope + relativeSlope * mean;
    double variance = sumSquare - sumLevel * sumLevel / sum;
    double covariance = sumProduct - sumLevel * mean;
    slope = (covariance + SLOPE_WEIGHT * expectedSlope) / (variance + SLOPE_WEIGHT);
    slope = Math.max(0, slope);
    intercept = Math.max(0, mean - slope * sumLevel / sum);
    // A steep line through few levels must not predict a time of zero without load.
    if (relativeSlope > 0 && intercept < MIN_INTERCEPT_SHARE * mean) {
      intercept = MIN_INTERCEPT_SHARE * mean;
    }
  }

  /** Returns the expected value at a level. */
  double at(int level) {
    double line = intercept + slope * (level - 1);
    double weight = weights[level];
    return (weight * means[level] + LINE_WEIGHT * line) / (weight + LINE_WEIGHT);
  }

  /** Returns the decayed number of samples. */
  double totalWeight() {
    return totalWeight;
  }
}
