package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Customer.RateLimit;

/**
 * What the owner of a customer's allowance grants from. Requests within the rate and the burst are
 * always granted. Requests beyond them are granted as long as they take no slot from anyone and all
 * requests of the window stay within what the contract permits: to refuse them would help nobody.
 */
public final class CustomerRateLimiter {
  /** Sums are kept in steps of a tenth; a longer one always covers the whole window. */
  private static final double SUM_WINDOW_FACTOR = 1.125;

  /**
   * The part of what an allowance holds that is kept for more important requests, for each rank.
   * Less important requests ask for most tokens of a customer that is near its limit.
   */
  private static final double KEPT_SHARE_PER_RANK = 0.2;

  /** The most that is kept for more important requests. */
  private static final double MAX_KEPT_SHARE = 0.6;

  /** Requests that cost less than this part of an allowance leave enough for others. */
  private static final double SMALL_COST_SHARE = 0.01;

  private final TokenBucket bucket;
  private final SlidingCount granted;
  private final SlidingCount grantedBeyond;
  private final long windowNanos;
  private final long sinceNanos;

  /**
   * Creates an allowance from which this instance has granted nothing yet.
   *
   * @param windowMillis the window in which the contract counts requests
   */
  public CustomerRateLimiter(long windowMillis, long nowNanos) {
    this.bucket = new TokenBucket(nowNanos);
    this.granted = new SlidingCount((long) (SUM_WINDOW_FACTOR * windowMillis));
    this.grantedBeyond = new SlidingCount((long) (SUM_WINDOW_FACTOR * windowMillis));
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
    this.sinceNanos = nowNanos;
  }

  /**
   * What an owner may grant.
   *
   * @param usual within the rate and the burst
   * @param mostInWindow in each window, when slots are free
   */
  public record Limits(BucketLimits usual, double mostInWindow) {
    /** The part of the constant excess that is kept for requests that reach an endpoint late. */
    private static final double KEPT_SLACK_SHARE = 0.15;

    /**
     * Returns the terms of a customer.
     *
     * @param overrun by what part a customer's requests may exceed its allowance in a window
     * @param slack what they may exceed it by besides
     */
    public static Limits of(RateLimit rate, double overrun, double slack, double windowSeconds) {
      BucketLimits usual = BucketLimits.forOwner(rate, slack, windowSeconds);
      double nominal = rate.perSecond() * windowSeconds + rate.burst();
      double permitted = nominal * (1 + overrun) + (rate.isInTokens() ? slack : 0);
      double usedUnasked = overrun * (usual.perSecond() * windowSeconds + usual.capacity());
      // Instances that lose the owner go on alone right after it has granted all this.
      double kept =
          BucketLimits.ALONE_SHARE * nominal + (rate.isInTokens() ? KEPT_SLACK_SHARE * slack : 0);
      return new Limits(usual, permitted - usedUnasked - kept);
    }
  }

  /**
   * Takes a cost, or returns how long to wait.
   *
   * @param priority the importance of the request; 0 is the most important
   * @param hasFreeSlots whether the request takes no slot from another one
   * @return 0 when the cost was taken, else the time until the bucket is refilled, in milliseconds
   */
  public long take(double cost, int priority, boolean hasFreeSlots, Limits terms, long nowNanos) {
    double capacity = terms.usual.capacity();
    double keptShare =
        cost <= SMALL_COST_SHARE * capacity
            ? 0
            : Math.min(MAX_KEPT_SHARE, KEPT_SHARE_PER_RANK * priority);
    double inWindow = granted.sum(nowNanos);
    double usualInWindow =
        terms.usual.perSecond() * windowNanos / TimeUnit.SECONDS.toNanos(1) + capacity;
    double excess = inWindow - usualInWindow;
    long waitMillis =
        grantedBeyond.sum(nowNanos) > 0 && excess > 0
            ? 1 + (long) (excess / terms.usual.perSecond() * TimeUnit.SECONDS.toMillis(1))
            : bucket.takeWithDebt(cost, keptShare * capacity, terms.usual, nowNanos);
    // An owner that is new does not know what the one before it granted in this window.
    boolean knowsWindow = nowNanos - sinceNanos >= SUM_WINDOW_FACTOR * windowNanos;
    double mostInWindow = (1 - keptShare / 2) * terms.mostInWindow;
    if (waitMillis > 0 && hasFreeSlots && knowsWindow && inWindow + cost <= mostInWindow) {
      grantedBeyond.add(cost, nowNanos);
      waitMillis = 0;
    }
    if (waitMillis == 0) {
      granted.add(cost, nowNanos);
    }
    return waitMillis;
  }

  /** Gives back the cost of a request that was not sent to any endpoint. */
  public void refund(double cost, long nowNanos) {
    bucket.refund(cost);
    granted.add(-cost, nowNanos);
  }
}
