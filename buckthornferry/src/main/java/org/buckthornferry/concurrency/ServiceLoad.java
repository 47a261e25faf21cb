package org.buckthornferry.concurrency;

/** The mean work of a request and the share of the allowed slots that are in use. */
final class ServiceLoad {
  /** The time over which the number of running requests is averaged. */
  private static final double WINDOW_NANOS = 4e9;

  private static final double SAMPLE_WEIGHT = 0.01;

  /** The share of the limits in use from which on requests are taken to wait for slots. */
  private static final double FULL_SHARE = 0.92;

  /** The range below {@link #FULL_SHARE} in which the spare share rises from 0 to 1. */
  private static final double SPARE_RANGE = 0.25;

  private double meanTokens;
  private double meanEvents;
  private long answers;
  private double usedNanos;
  private double elapsedNanos;
  private long lastNanos;

  /** Adds an answer. */
  void add(double tokens, int events, double durationMillis, long nowNanos) {
    answers++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / answers);
    meanTokens += weight * (tokens - meanTokens);
    meanEvents += weight * (events - meanEvents);
    long sinceNanos = answers == 1 ? 0 : Math.max(0, nowNanos - lastNanos);
    lastNanos = nowNanos;
    double decay = sinceNanos == 0 ? 1 : Math.exp(-sinceNanos / WINDOW_NANOS);
    usedNanos = usedNanos * decay + durationMillis * 1e6;
    elapsedNanos = elapsedNanos * decay + WINDOW_NANOS * (1 - decay);
  }

  double meanTokens() {
    return meanTokens;
  }

  double meanEvents() {
    return meanEvents;
  }

  /**
   * Returns how far from overload the service is: 0 when nearly all slots within the limits are in
   * use, 1 when a third of them is free.
   */
  double spareShare(long sumOfLimits) {
    if (elapsedNanos < WINDOW_NANOS / 4 || sumOfLimits == 0) {
      return 0;
    }
    double usedShare = usedNanos / elapsedNanos / sumOfLimits;
    return Math.max(0, Math.min(1, (FULL_SHARE - usedShare) / SPARE_RANGE));
  }
}
