package org.buckthornferry.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Delays the return of an endpoint that fails repeatedly: each failure doubles the delay, and each
 * minute without a failure halves it.
 */
final class FlapDamper {
  static final long FIRST_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
  static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(64);
  private static final long DECAY_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(60);

  private long delayNanos;
  private long lastFailureNanos;

  /** Records a failure and returns the earliest time at which the endpoint may return. */
  long onFailure(long nowNanos) {
    long decayPeriods = Math.min(62, (nowNanos - lastFailureNanos) / DECAY_PERIOD_NANOS);
    delayNanos >>= Math.max(0, decayPeriods);
    delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(FIRST_DELAY_NANOS, 2 * delayNanos));
    lastFailureNanos = nowNanos;
    return nowNanos + delayNanos;
  }
}
