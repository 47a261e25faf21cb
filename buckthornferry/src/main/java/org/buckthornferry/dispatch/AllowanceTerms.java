package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Customer.Rate;

/**
 * On which terms an instance uses its part of a customer's allowance.
 *
 * @param perSecond what is added in a second
 * @param capacity what can be used at once
 * @param maxDebt how far one request may overdraw; the fleet's counts cover the rest
 */
public record AllowanceTerms(double perSecond, double capacity, double maxDebt) {
  /** The part of the permitted excess that all instances together may use at once. */
  private static final double SLACK_SHARE = 0.35;

  /** How much of its part an instance may use while the customer stays well below its allowance. */
  private static final double AMPLE_FACTOR = 1.6;

  /**
   * Returns the terms of an instance.
   *
   * @param share the instance's part of the allowance, from 0 to 1
   * @param slack what all instances together may exceed the allowance by
   * @param isScarce whether the customer asks for about its allowance or more, or whether that is
   *     not known; then parts are kept strictly
   */
  public static AllowanceTerms of(Rate rate, double share, double slack, boolean isScarce) {
    double slackShare = rate.isInTokens() ? SLACK_SHARE * slack * share : 0;
    double capacity = rate.burst() * share + slackShare;
    if (isScarce) {
      return new AllowanceTerms(rate.perSecond() * share, capacity, Double.MAX_VALUE);
    }
    return new AllowanceTerms(AMPLE_FACTOR * rate.perSecond() * share, capacity, capacity);
  }
}
