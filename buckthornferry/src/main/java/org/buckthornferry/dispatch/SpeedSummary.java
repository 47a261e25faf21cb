package org.buckthornferry.dispatch;

import java.util.Collection;

/**
 * The combined speed of the endpoints of a service, recomputed after each change.
 *
 * @param millisPerToken the mean time to the first event per prompt token
 * @param bestMillisPerToken the expected time per prompt token at the fastest endpoint
 * @param millisPerEvent the mean time between two events; 0 until a stream has ended
 */
record SpeedSummary(double millisPerToken, double bestMillisPerToken, double millisPerEvent) {
  /** The time per prompt token that is assumed until the first answer, in milliseconds. */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;

  static SpeedSummary of(Collection<EndpointLoad> endpoints) {
    double tokenSum = 0;
    int tokenCount = 0;
    double eventSum = 0;
    int eventCount = 0;
    for (EndpointLoad load : endpoints) {
      SpeedEstimate speed = load.speed();
      if (speed.isKnown()) {
        tokenSum += speed.millisPerToken();
        tokenCount++;
      }
      if (speed.millisPerEvent() > 0) {
        eventSum += speed.millisPerEvent();
        eventCount++;
      }
    }
    double meanMillisPerToken = tokenCount == 0 ? INITIAL_MILLIS_PER_TOKEN : tokenSum / tokenCount;
    double bestMillisPerToken = endpoints.isEmpty() ? meanMillisPerToken : Double.MAX_VALUE;
    for (EndpointLoad load : endpoints) {
      bestMillisPerToken =
          Math.min(bestMillisPerToken, load.speed().expectedMillisPerToken(meanMillisPerToken));
    }
    return new SpeedSummary(
        meanMillisPerToken, bestMillisPerToken, eventCount == 0 ? 0 : eventSum / eventCount);
  }
}
