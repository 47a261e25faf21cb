package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Customer.RateLimit;

/**
 * The rate limiter of a customer, kept by the instance that owns the customer's allowance. Requests
 * within the rate and the burst are always granted. Requests beyond them are granted while slots
 * are free and all requests of the window stay within the contract, because refusing them would
 * free nothing for others.
 */
public final class CustomerRateLimiter {
  /** Sums advance in steps of a tenth; this factor makes them always cover the whole window. */
  private static final double SUM_WINDOW_FACTOR = 1.125;

  /**
   * The share of the capacity that is reserved for higher priorities, per priority level.
   * Lower-priority requests ask for most tokens of a customer that is near its limit.
   */
  private static final double RESERVE_SHARE_PER_PRIORITY = 0.2;

  /** The largest share of the capacity that is reserved for higher priorities. */
  private static final double MAX_RESERVE_SHARE = 0.6;

  /** Requests up to this share of the capacity leave enough for others and ignore the reserve. */
  private static final double SMALL_COST_SHARE = 0.01;

  private final TokenBucket bucket;
  private final SlidingWindowSum granted;
  private final SlidingWindowSum grantedBeyondRate;
  private final long windowNanos;
  private final long createdNanos;

  /**
   * Creates a rate limiter from which nothing has been granted.
   *
   * @param windowMillis the window over which the contract counts requests
   */
  public CustomerRateLimiter(long windowMillis, long nowNanos) {
    this.bucket = new TokenBucket(nowNanos);
    this.granted = new SlidingWindowSum((long) (SUM_WINDOW_FACTOR * windowMillis));
    this.grantedBeyondRate = new SlidingWindowSum((long) (SUM_WINDOW_FACTOR * windowMillis));
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    this.createdNanos = nowNanos;
  }

  /**
   * What an owner may grant.
   *
   * @param bucketLimits the limits that always apply
   * @param maxInWindow the maximum cost per window while slots are free
   */
  public record Limits(BucketLimits bucketLimits, double maxInWindow) {
    /** The share of the slack that is left for requests that reach an endpoint late. */
    private static final double LATE_SLACK_SHARE = 0.15;

    /**
     * Returns the limits of a customer.
     *
     * @param overrun the relative excess over the allowance that is permitted in a window
     * @param slack the absolute excess that is permitted in addition
     */
    public static Limits of(
        RateLimit rateLimit, double overrun, double slack, double windowSeconds) {
      BucketLimits bucketLimits = BucketLimits.forOwner(rateLimit, slack, windowSeconds);
      double nominal = rateLimit.perSecond() * windowSeconds + rateLimit.burst();
      double permitted = nominal * (1 + overrun) + (rateLimit.isInTokens() ? slack : 0);
      double usedLocally =
          overrun * (bucketLimits.perSecond() * windowSeconds + bucketLimits.capacity());
      // Instances that lose the owner use their own buckets right after it has granted the maximum.
      double usedElsewhere =
          BucketLimits.WITHOUT_OWNER_SHARE * nominal
              + (rateLimit.isInTokens() ? LATE_SLACK_SHARE * slack : 0);
      return new Limits(bucketLimits, permitted - usedLocally - usedElsewhere);
    }
  }

  /**
   * Takes a cost, or returns how long to wait.
   *
   * @param priority the priority of the request; 0 is the highest
   * @param hasFreeSlots whether the request takes no slot from another one
   * @return 0 when the cost was taken, else the time until the bucket is refilled, in milliseconds
   */
  public long take(double cost, int priority, boolean hasFreeSlots, Limits limits, long nowNanos) {
    double capacity = limits.bucketLimits.capacity();
    double reserveShare =
        cost <= SMALL_COST_SHARE * capacity
            ? 0
            : Math.min(MAX_RESERVE_SHARE, RESERVE_SHARE_PER_PRIORITY * priority);
    double grantedInWindow = granted.sum(nowNanos);
    double bucketInWindow =
        limits.bucketLimits.perSecond() * windowNanos / TimeUnit.SECONDS.toNanos(1) + capacity;
    double excess = grantedInWindow - bucketInWindow;
    long waitMillis =
        grantedBeyondRate.sum(nowNanos) > 0 && excess > 0
            ? 1 + (long) (excess / limits.bucketLimits.perSecond() * TimeUnit.SECONDS.toMillis(1))
            : bucket.takeWithDebt(cost, reserveShare * capacity, limits.bucketLimits, nowNanos);
    // A new owner does not know what its predecessor granted in this window.
    boolean knowsWindow = nowNanos - createdNanos >= SUM_WINDOW_FACTOR * windowNanos;
    double maxInWindow = (1 - reserveShare / 2) * limits.maxInWindow;
    if (waitMillis > 0 && hasFreeSlots && knowsWindow && grantedInWindow + cost <= maxInWindow) {
      grantedBeyondRate.add(cost, nowNanos);
      waitMillis = 0;
    }
    if (waitMillis == 0) {
      granted.add(cost, nowNanos);
    }
    return waitMillis;
  }

  /** Refunds the cost of a request that was not sent to any endpoint. */
  public void refund(double cost, long nowNanos) {
    bucket.refund(cost);
    granted.add(-cost, nowNanos);
  }
}
