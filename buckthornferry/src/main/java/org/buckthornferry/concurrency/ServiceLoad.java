package org.buckthornferry.concurrency;

import java.util.Collection;

/** The mean work of a request, and how far the service is from overload. */
final class ServiceLoad {
  private static final double SAMPLE_WEIGHT = 0.01;
  private static final long UPDATE_INTERVAL_NANOS = 250_000_000L;
  private static final int MIN_OBSERVATIONS = 5;

  /** Overload is noticed within a second; low limits meanwhile would refuse requests. */
  private static final double RISE_WEIGHT = 0.25;

  private static final double FALL_WEIGHT = 0.05;

  /** The share of requests sent at the limit from which on requests are taken to wait. */
  private static final double OVERLOAD_SHARE = 0.9;

  /** The range below {@link #OVERLOAD_SHARE} in which the spare share rises from 0 to 1. */
  private static final double SPARE_RANGE = 0.2;

  private double meanTokens;
  private double meanEvents;
  private long answers;
  private double fullShare = 1;
  private long updatedNanos;

  /** Adds an answer. */
  void add(double tokens, int events) {
    answers++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / answers);
    meanTokens += weight * (tokens - meanTokens);
    meanEvents += weight * (events - meanEvents);
  }

  /**
   * Updates the share of requests sent at the limit of their endpoint, if this is due.
   *
   * @return whether it was due
   */
  boolean update(Collection<EndpointCapacity> endpoints, long nowNanos) {
    if (answers > 1 && nowNanos - updatedNanos < UPDATE_INTERVAL_NANOS) {
      return false;
    }
    updatedNanos = nowNanos;
    double full = 0;
    double sum = 0;
    for (EndpointCapacity endpoint : endpoints) {
      if (endpoint.observations() < MIN_OBSERVATIONS) {
        continue;
      }
      full += endpoint.limit() * endpoint.fullShare(nowNanos);
      sum += endpoint.limit();
    }
    if (sum > 0) {
      double change = full / sum - fullShare;
      fullShare += (change > 0 ? RISE_WEIGHT : FALL_WEIGHT) * change;
    }
    return true;
  }

  double meanTokens() {
    return meanTokens;
  }

  double meanEvents() {
    return meanEvents;
  }

  /**
   * Returns how far from overload the service is: 0 when nearly all requests are sent at the limit
   * of their endpoint, because others wait for the slots; 1 when many find more than one slot.
   */
  double spareShare() {
    return Math.max(0, Math.min(1, (OVERLOAD_SHARE - fullShare) / SPARE_RANGE));
  }
}
