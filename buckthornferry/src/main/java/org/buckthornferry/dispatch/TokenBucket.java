package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that refills over time. A new bucket is empty, so that a restarted instance does
 * not spend a burst twice.
 */
public final class TokenBucket {
  /** The longest wait that is returned, in seconds. */
  private static final double MAX_WAIT_SECONDS = 60;

  private double tokens;
  private long refilledNanos;

  /** Creates an empty bucket that begins to refill now. */
  public TokenBucket(long nowNanos) {
    refilledNanos = nowNanos;
  }

  /** Takes a cost if the bucket holds enough tokens; returns whether it did. */
  public boolean tryTake(double cost, BucketLimits limits, long nowNanos) {
    refill(limits, nowNanos);
    if (tokens < cost) {
      return false;
    }
    tokens -= cost;
    return true;
  }

  /**
   * Takes a cost unless the bucket is in debt, or returns how long to wait. One request may put the
   * bucket into debt, because its cost can exceed the capacity; the debt is refilled before the
   * next request.
   *
   * @return 0 when the cost was taken, else the time until the bucket is refilled, in milliseconds
   */
  public long takeWithDebt(double cost, BucketLimits limits, long nowNanos) {
    return takeWithDebt(cost, 0, limits, nowNanos);
  }

  /**
   * Takes a cost like {@link #takeWithDebt(double, BucketLimits, long)}, but only while the bucket
   * holds at least {@code reserve}, which is kept for higher priorities.
   */
  public long takeWithDebt(double cost, double reserve, BucketLimits limits, long nowNanos) {
    refill(limits, nowNanos);
    if (tokens >= reserve) {
      tokens -= cost;
      return 0;
    }
    double missing = reserve - tokens;
    double seconds = limits.perSecond() <= 0 ? MAX_WAIT_SECONDS : missing / limits.perSecond();
    return 1 + (long) (Math.min(MAX_WAIT_SECONDS, seconds) * TimeUnit.SECONDS.toMillis(1));
  }

  /** Refunds the cost of a request that was not sent to any endpoint. */
  public void refund(double cost) {
    tokens += cost;
  }

  private void refill(BucketLimits limits, long nowNanos) {
    double elapsedSeconds = (nowNanos - refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    double filled = tokens + Math.max(0, elapsedSeconds) * limits.perSecond();
    tokens = Math.min(limits.capacity(), filled);
    refilledNanos = nowNanos;
  }
}
