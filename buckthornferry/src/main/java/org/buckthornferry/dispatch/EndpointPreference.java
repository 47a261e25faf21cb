package org.buckthornferry.dispatch;

/**
 * Ranks endpoints for a request. Where slots are scarce, a request that even a slow endpoint serves
 * well within its goal leaves the fast ones to those that need them, such as long prompts.
 */
final class EndpointPreference {
  /** The part of the time left to the goal within which a first event is comfortably on time. */
  private static final double COMFORTABLE_SHARE = 0.4;

  /**
   * What a request to another failure domain costs more, in milliseconds: the reservation and the
   * request go there and back, a millisecond or more each way.
   */
  private static final double OTHER_DOMAIN_MILLIS = 6;

  /** The share of answers that count as good at least, so that a bad endpoint is tried at times. */
  private static final double MIN_GOOD_SHARE = 0.1;

  /** Lies above every score of an endpoint that is comfortably on time. */
  private static final double NOT_COMFORTABLE = 1e6;

  /** Lies above every score of an endpoint that gets the whole answer done before the deadline. */
  private static final double ENDS_LATE = 1e9;

  private EndpointPreference() {}

  /**
   * Returns the score of an endpoint; the smallest is the best.
   *
   * @param firstMillis the expected time to the first event
   * @param slackMillis the time left to the goal
   * @param relativeSlowness how slow the endpoint is compared with the others; 1 for the average
   * @param relativeWork the part of the request's work that is left at the endpoint; less than 1
   *     when it has read a part of the prompt
   * @param isOtherDomain whether the endpoint is in another failure domain
   * @param errorShare the share of answers that failed
   * @param isScarce whether endpoints have refused requests for lack of slots lately
   * @param endsInTime whether the whole answer is expected before the deadline
   */
  static double score(
      double firstMillis,
      double slackMillis,
      double relativeSlowness,
      double relativeWork,
      boolean isOtherDomain,
      double errorShare,
      boolean isScarce,
      boolean endsInTime) {
    double goodShare = Math.max(MIN_GOOD_SHARE, 1 - errorShare);
    boolean isComfortable = firstMillis <= COMFORTABLE_SHARE * slackMillis;
    if (isScarce && isComfortable && endsInTime) {
      return relativeWork / (Math.max(0.01, relativeSlowness) * goodShare);
    }
    double millis = firstMillis + (isOtherDomain ? OTHER_DOMAIN_MILLIS : 0);
    return (isScarce ? NOT_COMFORTABLE : 0) + (endsInTime ? 0 : ENDS_LATE) + millis / goodShare;
  }
}
