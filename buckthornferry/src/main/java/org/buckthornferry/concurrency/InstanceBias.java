package org.buckthornferry.concurrency;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds instances that measure longer times than others at the same endpoints, for example because
 * they lack processor time, so that their delays are not held against the endpoints.
 */
final class InstanceBias {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 5;

  /** Limits the effect of one answer on the bias. */
  private static final double MAX_LOG_RATIO = Math.log(5);

  private static final long MEDIAN_INTERVAL_NANOS = 500_000_000L;
  private static final long FORGET_NANOS = 60_000_000_000L;

  private final Map<String, Bias> biases = new HashMap<>();
  private double medianLog;
  private long medianNanos;
  private boolean hasMedian;

  private static final class Bias {
    private double meanLog;
    private long samples;
    private long observedNanos;
  }

  /** Adds the ratio of a time measured by an instance to the one expected of the endpoint. */
  void add(String instanceId, double ratio, long nowNanos) {
    Bias bias = biases.computeIfAbsent(instanceId, key -> new Bias());
    double log = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, Math.log(ratio)));
    bias.samples++;
    bias.meanLog += Math.max(SAMPLE_WEIGHT, 1.0 / bias.samples) * (log - bias.meanLog);
    bias.observedNanos = nowNanos;
    if (!hasMedian || nowNanos - medianNanos >= MEDIAN_INTERVAL_NANOS) {
      biases.values().removeIf(other -> nowNanos - other.observedNanos > FORGET_NANOS);
      updateMedian();
      medianNanos = nowNanos;
      hasMedian = true;
    }
  }

  private void updateMedian() {
    double[] logs =
        biases.values().stream()
            .filter(bias -> bias.samples >= MIN_SAMPLES)
            .mapToDouble(bias -> bias.meanLog)
            .toArray();
    Arrays.sort(logs);
    // Of two instances the faster one is believed: delays are added on the way, never removed.
    medianLog = logs.length == 0 ? 0 : logs[(logs.length - 1) / 2];
  }

  /** Returns how many times longer than others an instance measures; 1 if unknown. */
  double factor(String instanceId) {
    Bias bias = biases.get(instanceId);
    return bias == null || bias.samples < MIN_SAMPLES ? 1 : Math.exp(bias.meanLog - medianLog);
  }
}
