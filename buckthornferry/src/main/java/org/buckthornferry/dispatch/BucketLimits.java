package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Customer.RateLimit;

/**
 * The refill rate and the capacity of a token bucket.
 *
 * <p>In a window of {@code W} seconds, the requests of a customer with rate {@code R} and burst
 * {@code B} may cost up to {@code (R W + B)(1 + o) + S}, with the overrun {@code o} and the slack
 * {@code S}. The bucket of the customer's owner instance uses {@code R W + B} and a part of {@code
 * S}; the local shares of all instances add the factor {@code o}. The rest of {@code S} covers the
 * one request that puts the owner's bucket into debt, and instances that cannot reach the owner.
 *
 * @param perSecond the tokens that are added per second
 * @param capacity the maximum number of tokens
 */
public record BucketLimits(double perSecond, double capacity) {
  /** The share of the slack that is added to the refill over one window. */
  private static final double RATE_SLACK_SHARE = 0.2;

  /** The share of the slack that is added to the capacity. */
  private static final double BURST_SLACK_SHARE = 0.25;

  /**
   * The share of an equal split that an instance uses while it cannot reach the owner. The owner
   * meanwhile grants the whole allowance to the others, so this must stay within the permitted
   * excess.
   */
  static final double WITHOUT_OWNER_SHARE = 0.3;

  /**
   * Returns the limits of the bucket from which the owner of a customer grants.
   *
   * @param slack the absolute excess over the allowance that is permitted in a window
   * @param windowSeconds the length of that window
   */
  public static BucketLimits forOwner(RateLimit rateLimit, double slack, double windowSeconds) {
    double usedSlack = rateLimit.isInTokens() ? slack : 0;
    return new BucketLimits(
        rateLimit.perSecond() + RATE_SLACK_SHARE * usedSlack / windowSeconds,
        rateLimit.burst() + BURST_SLACK_SHARE * usedSlack);
  }

  /**
   * Returns the limits of the bucket that each instance uses without asking the owner.
   *
   * @param overrun the relative excess over the allowance that is permitted
   */
  public BucketLimits localShare(double overrun, int instances) {
    return scaledBy(overrun / instances);
  }

  /** Returns the limits of the bucket of an instance that cannot reach the owner. */
  public static BucketLimits withoutOwner(RateLimit rateLimit, int instances) {
    return new BucketLimits(rateLimit.perSecond(), rateLimit.burst())
        .scaledBy(WITHOUT_OWNER_SHARE / instances);
  }

  private BucketLimits scaledBy(double share) {
    return new BucketLimits(share * perSecond, share * capacity);
  }
}
