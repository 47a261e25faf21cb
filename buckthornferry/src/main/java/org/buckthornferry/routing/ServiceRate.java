package org.buckthornferry.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.admission.WaitingQueue;

/**
 * The rate at which this instance dispatches the requests of each tier, measured while requests of
 * the tier wait. While none wait, the rate drifts back to the capacity, because nothing is learned
 * and an outdated low rate would refuse every later request.
 */
final class ServiceRate {
  private static final double TIME_CONSTANT_NANOS = (double) TimeUnit.SECONDS.toNanos(5);

  /** The least share of the capacity that is assumed for a tier. */
  private static final double MIN_SHARE = 0.01;

  private final Map<Tier, Double> tokensPerNano = new EnumMap<>(Tier.class);
  private final Map<Tier, Double> dispatchedTokens = new EnumMap<>(Tier.class);
  private final Map<Tier, Boolean> waited = new EnumMap<>(Tier.class);
  private double capacity;
  private long lastNanos;
  private boolean started;

  /** Handles a dispatched request. */
  void onDispatched(Tier tier, double costTokens) {
    dispatchedTokens.merge(tier, costTokens, Double::sum);
  }

  /**
   * Takes a measurement.
   *
   * @param newCapacity the estimated tokens per nanosecond of this instance's share of all
   *     endpoints
   */
  void update(WaitingQueue queue, double newCapacity, long nowNanos) {
    double elapsedNanos = started ? (double) (nowNanos - lastNanos) : 0;
    capacity = newCapacity;
    lastNanos = nowNanos;
    double step = Math.min(1, elapsedNanos / TIME_CONSTANT_NANOS);
    for (Tier tier : Tier.values()) {
      boolean waits = queue.size(tier) > 0;
      double target = capacity;
      if (waits && waited.getOrDefault(tier, false) && elapsedNanos > 0) {
        target = dispatchedTokens.getOrDefault(tier, 0.0) / elapsedNanos;
      }
      double before = started ? tokensPerNano.get(tier) : capacity;
      tokensPerNano.put(tier, before + (target - before) * step);
      waited.put(tier, waits);
    }
    dispatchedTokens.clear();
    started = true;
  }

  /** Returns the estimated time to dispatch the given tokens of a tier, in nanoseconds. */
  double waitNanos(Tier tier, double tokens) {
    if (tokens <= 0 || !started) {
      return 0;
    }
    double rate = Math.max(tokensPerNano.get(tier), capacity * MIN_SHARE);
    return rate <= 0 ? Double.MAX_VALUE : tokens / rate;
  }
}
