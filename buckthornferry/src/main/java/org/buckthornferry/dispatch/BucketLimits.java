package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Customer.RateLimit;

/**
 * How fast an allowance refills and what it holds at most.
 *
 * <p>In a window of {@code W} seconds the requests of a customer may exceed its rate {@code R} and
 * burst {@code B} by a part {@code o} and by a constant {@code S}: {@code (R W + B)(1 + o) + S}.
 * The common allowance uses {@code R W + B} and a part of {@code S}; what the instances may use
 * without asking adds {@code o} to that. The rest of {@code S} covers the one request by which the
 * common allowance is overdrawn, and instances that cannot reach its owner.
 *
 * @param perSecond what is added in a second
 * @param capacity what can be used at once
 */
public record BucketLimits(double perSecond, double capacity) {
  /** The part of the permitted constant excess that refills over a window, beside the rate. */
  private static final double RATE_SLACK_SHARE = 0.2;

  /** The part of the permitted constant excess that can be used at once, beside the burst. */
  private static final double BURST_SLACK_SHARE = 0.25;

  /**
   * What an instance that cannot reach the owner uses of an equal part. The owner grants the whole
   * allowance to the others meanwhile, so this must stay within the permitted excess.
   */
  static final double ALONE_SHARE = 0.3;

  /**
   * Returns the terms of a customer's allowance that its owner grants from.
   *
   * @param slack what a customer's requests may exceed its allowance by in a window
   * @param windowSeconds the window of that bound
   */
  public static BucketLimits forOwner(RateLimit rate, double slack, double windowSeconds) {
    double usedSlack = rate.isInTokens() ? slack : 0;
    return new BucketLimits(
        rate.perSecond() + RATE_SLACK_SHARE * usedSlack / windowSeconds,
        rate.burst() + BURST_SLACK_SHARE * usedSlack);
  }

  /**
   * Returns the terms of what each instance may use without asking the owner.
   *
   * @param overrun by what part a customer's requests may exceed its allowance
   */
  public BucketLimits localShare(double overrun, int instances) {
    return part(overrun / instances);
  }

  /** Returns the terms of an instance that cannot reach the owner. */
  public static BucketLimits withoutOwner(RateLimit rate, int instances) {
    return new BucketLimits(rate.perSecond(), rate.burst()).part(ALONE_SHARE / instances);
  }

  private BucketLimits part(double share) {
    return new BucketLimits(share * perSecond, share * capacity);
  }
}
