package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * A bucket that refills with time. A new one is empty, so that restarted instances do not spend a
 * burst twice.
 */
public final class TokenBucket {
  /** The longest time to come back that is told to a caller, in seconds. */
  private static final double MAX_WAIT_SECONDS = 60;

  private double tokens;
  private long filledNanos;

  /** Creates an empty bucket that begins to fill now. */
  public TokenBucket(long nowNanos) {
    filledNanos = nowNanos;
  }

  /** Takes a cost that the bucket covers; returns whether it did. */
  public boolean tryTake(double cost, BucketLimits terms, long nowNanos) {
    refill(terms, nowNanos);
    if (tokens < cost) {
      return false;
    }
    tokens -= cost;
    return true;
  }

  /**
   * Takes a cost unless the bucket is overdrawn, or returns how long to wait. It may be overdrawn
   * by one request, because one can be larger than all that it holds; what was overdrawn is
   * refilled first.
   *
   * @return 0 when the cost was taken, else the time until the bucket is refilled, in milliseconds
   */
  public long takeWithDebt(double cost, BucketLimits terms, long nowNanos) {
    return takeWithDebt(cost, 0, terms, nowNanos);
  }

  /**
   * Takes a cost like the other method unless less than {@code kept} is left, which others need
   * more.
   */
  public long takeWithDebt(double cost, double kept, BucketLimits terms, long nowNanos) {
    refill(terms, nowNanos);
    if (tokens >= kept) {
      tokens -= cost;
      return 0;
    }
    double missing = kept - tokens;
    double seconds = terms.perSecond() <= 0 ? MAX_WAIT_SECONDS : missing / terms.perSecond();
    return 1 + (long) (Math.min(MAX_WAIT_SECONDS, seconds) * TimeUnit.SECONDS.toMillis(1));
  }

  /** Gives back the cost of a request that was not sent to any endpoint. */
  public void refund(double cost) {
    tokens += cost;
  }

  private void refill(BucketLimits terms, long nowNanos) {
    double elapsedSeconds = (nowNanos - filledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    double filled = tokens + Math.max(0, elapsedSeconds) * terms.perSecond();
    tokens = Math.min(terms.capacity(), filled);
    filledNanos = nowNanos;
  }
}
