package org.buckthornferry.scaling;

import java.util.concurrent.TimeUnit;

/**
 * The order of one service and failure domain: when the platform is to be called. The ordered
 * number is absolute, so that repeating an order is safe.
 */
final class ScalingOrder {
  /** The shortest interval between two calls, in milliseconds; bounds the calls to the platform. */
  private static final long INTERVAL_MILLIS = 2_000;

  /**
   * Time beyond the startup time after which an order that has no effect is repeated, in
   * milliseconds. An earlier call may have been carried out after a later one. The time covers
   * responses that end before an endpoint does.
   */
  private static final long EFFECT_SLACK_MILLIS = 12_000;

  private int ordered;
  private boolean hasOrdered;
  private boolean isAnswered;
  private boolean isInFlight;
  private long calledNanos;
  private long agreedNanos;

  /** Creates an order that is due at once, because the number in force cannot be read. */
  ScalingOrder(long nowNanos) {
    this.agreedNanos = nowNanos;
  }

  /**
   * Returns whether the platform is to be called.
   *
   * @param serving the endpoints that accept requests
   * @param startupMillis the time from an order until an endpoint serves
   */
  boolean isDue(int desired, int serving, long startupMillis, long nowNanos) {
    if (serving == desired || !hasOrdered) {
      agreedNanos = nowNanos;
    }
    boolean isTooEarly =
        hasOrdered && nowNanos - calledNanos < TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);
    if (isInFlight || isTooEarly) {
      return false;
    }
    if (!hasOrdered || !isAnswered || ordered != desired) {
      return true;
    }
    long effectNanos = TimeUnit.MILLISECONDS.toNanos(startupMillis + EFFECT_SLACK_MILLIS);
    return nowNanos - agreedNanos >= effectNanos && nowNanos - calledNanos >= effectNanos;
  }

  /** Records a call. */
  void onCalled(int desired, long nowNanos) {
    ordered = desired;
    hasOrdered = true;
    isAnswered = false;
    isInFlight = true;
    calledNanos = nowNanos;
  }

  /** Records the end of the last call. */
  void onEnded(boolean wasAccepted) {
    isInFlight = false;
    isAnswered = wasAccepted;
  }
}
