package org.buckthornferry.dispatch;

/**
 * Scores endpoints for a request. While slots are scarce, a request that a slow endpoint serves
 * well within its goal prefers slow endpoints and leaves fast ones to requests that need them, such
 * as long prompts.
 */
final class EndpointScore {
  /** The share of the time left to the goal within which a first event is well on time. */
  private static final double WELL_ON_TIME_SHARE = 0.4;

  /**
   * The extra latency of an endpoint in another failure domain, in milliseconds: a round trip for
   * the reservation and one for the request, each way a millisecond or more.
   */
  private static final double OTHER_DOMAIN_COST_MILLIS = 6;

  /** The minimum success share, so that a failing endpoint is still tried at times. */
  private static final double MIN_GOOD_SHARE = 0.1;

  /** Exceeds every score of an endpoint that is well on time. */
  private static final double NOT_WELL_ON_TIME_PENALTY = 1e6;

  /** Exceeds every score of an endpoint that completes the answer before the deadline. */
  private static final double ENDS_LATE_PENALTY = 1e9;

  private EndpointScore() {}

  /**
   * Returns the score of an endpoint; the lowest is the best.
   *
   * @param firstEventMillis the expected time to the first event
   * @param slackMillis the time left to the goal
   * @param relativeSlowness the endpoint's time per token divided by the mean of all endpoints
   * @param relativeWork the share of the request's work that the endpoint has to do; less than 1
   *     when a part of the prompt is cached
   * @param isOtherDomain whether the endpoint is in another failure domain
   * @param errorShare the share of answers that failed
   * @param isScarce whether endpoints have recently refused requests for lack of slots
   * @param endsInTime whether the whole answer is expected before the deadline
   */
  static double score(
      double firstEventMillis,
      double slackMillis,
      double relativeSlowness,
      double relativeWork,
      boolean isOtherDomain,
      double errorShare,
      boolean isScarce,
      boolean endsInTime) {
    double goodShare = Math.max(MIN_GOOD_SHARE, 1 - errorShare);
    boolean isWellOnTime = firstEventMillis <= WELL_ON_TIME_SHARE * slackMillis;
    if (isScarce && isWellOnTime && endsInTime) {
      return relativeWork / (Math.max(0.01, relativeSlowness) * goodShare);
    }
    double millis = firstEventMillis + (isOtherDomain ? OTHER_DOMAIN_COST_MILLIS : 0);
    return (isScarce ? NOT_WELL_ON_TIME_PENALTY : 0)
        + (endsInTime ? 0 : ENDS_LATE_PENALTY)
        + millis / goodShare;
  }
}
