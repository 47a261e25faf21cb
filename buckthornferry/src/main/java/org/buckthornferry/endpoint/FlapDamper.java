package org.buckthornferry.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Delays the return of an endpoint that fails again and again: each failure doubles the delay, and
 * each quiet minute halves it.
 */
final class FlapDamper {
  static final long FIRST_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
  static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(64);
  private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(60);

  private long delayNanos;
  private long lastFailureNanos;

  /** Counts a failure and returns the earliest time of the return. */
  long onFailure(long nowNanos) {
    long quietMinutes = Math.min(62, (nowNanos - lastFailureNanos) / QUIET_NANOS);
    delayNanos >>= Math.max(0, quietMinutes);
    delayNanos = Math.min(MAX_DELAY_NANOS, Math.max(FIRST_DELAY_NANOS, 2 * delayNanos));
    lastFailureNanos = nowNanos;
    return nowNanos + delayNanos;
  }
}
