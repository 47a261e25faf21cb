package org.buckthornferry.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the median latency of the old version per route by stochastic approximation: each
 * sample moves the estimate by a small factor towards itself.
 */
public final class LatencyBaseline {
  private static final double STEP_FACTOR = 1.05;
  private static final int MIN_SAMPLES = 10;

  private final Map<String, Estimate> byRoute = new HashMap<>();

  private static final class Estimate {
    private double medianNanos;
    private int samples;
  }

  /** Adds the latency of a request of the old version. */
  public void add(String route, double latencyNanos) {
    Estimate estimate = byRoute.computeIfAbsent(route, unused -> new Estimate());
    if (estimate.samples == 0) {
      estimate.medianNanos = latencyNanos;
    } else if (latencyNanos > estimate.medianNanos) {
      estimate.medianNanos = Math.min(latencyNanos, estimate.medianNanos * STEP_FACTOR);
    } else {
      estimate.medianNanos = Math.max(latencyNanos, estimate.medianNanos / STEP_FACTOR);
    }
    estimate.samples++;
  }

  /** Returns whether there are enough samples of the route to detect slow requests. */
  boolean isKnown(String route) {
    Estimate estimate = byRoute.get(route);
    return estimate != null && estimate.samples >= MIN_SAMPLES;
  }

  /**
   * Returns whether a latency is above {@code ratio} times the median; false if the median is
   * unknown.
   */
  boolean isSlow(String route, double latencyNanos, double ratio) {
    return isKnown(route) && latencyNanos > ratio * byRoute.get(route).medianNanos;
  }
}
