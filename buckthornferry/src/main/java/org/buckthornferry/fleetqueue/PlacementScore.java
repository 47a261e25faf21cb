package org.buckthornferry.fleetqueue;

import org.buckthornferry.concurrency.CapacityEstimate;
import org.buckthornferry.concurrency.CapacityModel;

/**
 * How well an endpoint suits a request; the smallest score is the best. An endpoint that keeps more
 * of the request's goals always comes first. While slots are scarce, requests that a slow endpoint
 * serves well leave the fast ones to those that need them.
 *
 * @param fit which goals are kept
 * @param cost compared among endpoints with the same fit
 */
record PlacementScore(Fit fit, double cost) implements Comparable<PlacementScore> {
  /** The safety factor for expected answer lengths; one in five answers exceeds it. */
  private static final double LENGTH_MARGIN_FACTOR = 1.5;

  /**
   * The share of the longest good pause that the mean time between events may have; single pauses
   * are longer, when the endpoint reads other prompts in between.
   */
  private static final double GAP_MARGIN_SHARE = 0.6;

  /** The share of the time left to the goal within which a first event is well on time. */
  private static final double WELL_ON_TIME_SHARE = 0.6;

  /** The extra latency of an endpoint in another failure domain: two round trips. */
  private static final double OTHER_DOMAIN_MILLIS = 4;

  /** The latency of a new connection, which an open one saves. */
  private static final double CONNECTION_MILLIS = 3;

  /** Exceeds every cost of an endpoint that is well on time. */
  private static final double NOT_WELL_ON_TIME_COST = 1e6;

  /** The minimum share of good answers, so that a failing endpoint is still tried at times. */
  private static final double MIN_GOOD_SHARE = 0.1;

  /** Which goals of a request an endpoint is expected to keep; the first is the best. */
  enum Fit {
    /** The first event and the pauses are good, and the answer ends in time. */
    GOOD,
    /** The answer ends in time, but is late. */
    LATE,
    /** The caller leaves before the first event or the end of the answer. */
    LOST
  }

  /**
   * Returns the score of an endpoint that has room for a request.
   *
   * @param expectedEvents the expected number of events; 0 for a plain answer
   * @param meanMillisPerToken the mean of all endpoints
   * @param isScarce whether other requests wait for slots
   */
  static PlacementScore of(
      QueuedTicket queued,
      EndpointState endpoint,
      double expectedEvents,
      double meanMillisPerToken,
      boolean isScarce,
      long nowNanos) {
    Ticket ticket = queued.ticket();
    CapacityEstimate estimate = endpoint.estimate();
    double uncachedTokens = uncachedTokens(ticket, endpoint, nowNanos);
    double firstEventMillis =
        estimate.millisPerToken() * (uncachedTokens + CapacityModel.FIXED_COST_TOKENS);
    double completeMillis =
        firstEventMillis + LENGTH_MARGIN_FACTOR * expectedEvents * estimate.millisPerEvent();
    double goalMillis = queued.goalMillis(nowNanos);
    boolean isLost =
        firstEventMillis > queued.patienceMillis(nowNanos)
            || completeMillis > queued.deadlineMillis(nowNanos);
    boolean hasGoodPauses =
        ticket.gapGoalMillis() <= 0
            || estimate.millisPerEvent() <= GAP_MARGIN_SHARE * ticket.gapGoalMillis();
    boolean isGood = firstEventMillis <= goalMillis && hasGoodPauses;
    double goodShare = Math.max(MIN_GOOD_SHARE, 1 - endpoint.errorShare());
    boolean prefersSlow = isScarce && isGood && firstEventMillis <= WELL_ON_TIME_SHARE * goalMillis;
    double cost;
    if (prefersSlow) {
      double relativeWork =
          (uncachedTokens + CapacityModel.FIXED_COST_TOKENS)
              / (ticket.size().promptTokens() + CapacityModel.FIXED_COST_TOKENS);
      cost = relativeWork * meanMillisPerToken / (estimate.millisPerToken() * goodShare);
    } else {
      boolean isSameDomain = endpoint.endpoint().failureDomain().equals(queued.failureDomain());
      boolean hasConnection = endpoint.hasConnection(queued.key().instanceId(), nowNanos);
      double millis =
          firstEventMillis
              + (isSameDomain ? 0 : OTHER_DOMAIN_MILLIS)
              + (hasConnection ? 0 : CONNECTION_MILLIS);
      cost = (isScarce ? NOT_WELL_ON_TIME_COST : 0) + millis / goodShare;
    }
    return new PlacementScore(isLost ? Fit.LOST : isGood ? Fit.GOOD : Fit.LATE, cost);
  }

  /** Returns the number of prompt tokens that an endpoint has to read. */
  static double uncachedTokens(Ticket ticket, EndpointState endpoint, long nowNanos) {
    double cachedTokens = endpoint.cachedTokens(ticket.promptPrefix(), nowNanos);
    return Math.max(0, ticket.size().promptTokens() - cachedTokens);
  }

  @Override
  public int compareTo(PlacementScore other) {
    int byFit = fit.compareTo(other.fit);
    return byFit != 0 ? byFit : Double.compare(cost, other.cost);
  }
}
