package org.buckthornferry.concurrency;

/**
 * A quantity over the concurrency of an endpoint: decayed means at each level, and a straight line
 * through them for levels with few samples.
 */
final class LevelCurve {
  /** The number of samples at a level that count as much as the line. */
  private static final double LINE_WEIGHT = 3;

  /** The number of samples from which on a curve of similar endpoints counts more than the line. */
  private static final double POOLED_WEIGHT = 5;

  /** The weight of the expected slope in the fit of the line, in samples at distance one. */
  private static final double SLOPE_WEIGHT = 2;

  /** The smallest time without load as a share of the mean time. */
  private static final double MIN_INTERCEPT_SHARE = 0.2;

  private final double[] weights;
  private final double[] means;
  private final double absoluteSlope;
  private final double relativeSlope;
  private final double anchorWeight;
  private double anchor;
  private LevelCurve pooled;
  private double pooledOffset;
  private double totalWeight;
  private double intercept;
  private double slope;

  /**
   * Creates a curve without samples.
   *
   * @param levels the largest concurrency
   * @param absoluteSlope the part of the expected slope that does not depend on the mean
   * @param relativeSlope the part of the expected slope as a share of the mean
   * @param anchorWeight the weight of an assumed value at concurrency one, in samples
   */
  LevelCurve(int levels, double absoluteSlope, double relativeSlope, double anchorWeight) {
    weights = new double[levels + 1];
    means = new double[levels + 1];
    this.absoluteSlope = absoluteSlope;
    this.relativeSlope = relativeSlope;
    this.anchorWeight = anchorWeight;
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

  /** Sets the assumed value at concurrency one. */
  void setAnchor(double value) {
    anchor = value;
  }

  /** Sets the curve of similar endpoints, which replaces the line as far as it has samples. */
  void setPooled(LevelCurve curve) {
    pooled = curve;
  }

  /** Adds a sample and fits the line. */
  void add(int level, double value, double weight) {
    weights[level] += weight;
    means[level] += (value - means[level]) * weight / weights[level];
    fit();
  }

  /** Moves a sample to another level, to which it turns out to belong. */
  void move(int from, int to, double value, double weight) {
    double moved = Math.min(weight, weights[from]);
    if (moved <= 0) {
      return;
    }
    double left = weights[from] - moved;
    if (left < 1e-3) {
      weights[from] = 0;
    } else {
      means[from] = Math.max(0, (weights[from] * means[from] - moved * value) / left);
      weights[from] = left;
    }
    add(to, value, moved);
  }

  private void fit() {
    double sum = anchorWeight;
    double sumLevel = 0;
    double sumSquare = 0;
    double sumValue = anchorWeight * anchor;
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
    totalWeight = sum - anchorWeight;
    double mean = sumValue / sum;
    double expectedSlope = absoluteSlope + relativeSlope * mean;
    double variance = sumSquare - sumLevel * sumLevel / sum;
    double covariance = sumProduct - sumLevel * mean;
    slope = (covariance + SLOPE_WEIGHT * expectedSlope) / (variance + SLOPE_WEIGHT);
    slope = Math.max(0, slope);
    intercept = Math.max(0, mean - slope * sumLevel / sum);
    pooledOffset = pooled == null ? 0 : pooledOffset();
    // A steep line through few levels must not predict a time of zero without load.
    if (relativeSlope > 0 && intercept < MIN_INTERCEPT_SHARE * mean) {
      intercept = MIN_INTERCEPT_SHARE * mean;
    }
  }

  /** Returns by how much the samples exceed those of similar endpoints at the same levels. */
  private double pooledOffset() {
    double sum = 0;
    for (int level = 1; level < weights.length; level++) {
      sum += weights[level] * (means[level] - pooled.at(level));
    }
    return sum / (totalWeight + LINE_WEIGHT);
  }

  /** Returns the expected value at a level. */
  double at(int level) {
    double line = intercept + slope * (level - 1);
    if (pooled != null) {
      double share = pooled.totalWeight / (pooled.totalWeight + POOLED_WEIGHT);
      line += share * (pooled.at(level) + pooledOffset - line);
    }
    double weight = weights[level];
    double assumed = level == 1 ? anchorWeight : 0;
    return (weight * means[level] + LINE_WEIGHT * line + assumed * anchor)
        / (weight + LINE_WEIGHT + assumed);
  }

  /** Returns the decayed number of samples at a level. */
  double weight(int level) {
    return weights[level];
  }

  /** Returns the decayed number of samples. */
  double totalWeight() {
    return totalWeight;
  }
}
