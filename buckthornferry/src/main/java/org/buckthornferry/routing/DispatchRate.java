package org.buckthornferry.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.admission.WaitingQueue;

/**
 * Estimates the rate at which this instance dispatches requests of each tier, as an exponential
 * moving average. It is measured only while requests of the tier are queued. Otherwise it decays
 * towards the estimated capacity, because an outdated low rate would refuse every later request.
 */
final class DispatchRate {
  private static final double TIME_CONSTANT_NANOS = (double) TimeUnit.SECONDS.toNanos(5);

  /** The lower bound of a tier's rate, as a share of the capacity. */
  private static final double MIN_CAPACITY_SHARE = 0.01;

  private final Map<Tier, Double> tokensPerNano = new EnumMap<>(Tier.class);
  private final Map<Tier, Double> dispatchedTokens = new EnumMap<>(Tier.class);
  private final Map<Tier, Boolean> wasWaiting = new EnumMap<>(Tier.class);
  private double capacityTokensPerNano;
  private long lastUpdateNanos;
  private boolean initialized;

  /** Records a dispatched request. */
  void onDispatched(Tier tier, double costTokens) {
    dispatchedTokens.merge(tier, costTokens, Double::sum);
  }

  /**
   * Updates the estimates.
   *
   * @param newCapacityTokensPerNano the estimated throughput of this instance's share of all
   *     endpoints
   */
  void update(WaitingQueue queue, double newCapacityTokensPerNano, long nowNanos) {
    double elapsedNanos = initialized ? (double) (nowNanos - lastUpdateNanos) : 0;
    capacityTokensPerNano = newCapacityTokensPerNano;
    lastUpdateNanos = nowNanos;
    double step = Math.min(1, elapsedNanos / TIME_CONSTANT_NANOS);
    for (Tier tier : Tier.values()) {
      boolean isWaiting = queue.size(tier) > 0;
      double target = capacityTokensPerNano;
      if (isWaiting && wasWaiting.getOrDefault(tier, false) && elapsedNanos > 0) {
        target = dispatchedTokens.getOrDefault(tier, 0.0) / elapsedNanos;
      }
      double before = initialized ? tokensPerNano.get(tier) : capacityTokensPerNano;
      tokensPerNano.put(tier, before + (target - before) * step);
      wasWaiting.put(tier, isWaiting);
    }
    dispatchedTokens.clear();
    initialized = true;
  }

  /** Returns the estimated time to dispatch the given number of tokens of a tier. */
  double waitNanos(Tier tier, double tokens) {
    if (tokens <= 0 || !initialized) {
      return 0;
    }
    double rate = Math.max(tokensPerNano.get(tier), capacityTokensPerNano * MIN_CAPACITY_SHARE);
    return rate <= 0 ? Double.MAX_VALUE : tokens / rate;
  }
}
