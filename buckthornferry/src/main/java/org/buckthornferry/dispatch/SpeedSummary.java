package org.buckthornferry.dispatch;

import java.util.Collection;

/**
 * What the endpoints of a service show together about speed; computed once after each change.
 *
 * @param millisPerToken the mean time to the first event for a prompt token
 * @param bestMillisPerToken the time that is expected of the fastest endpoint
 * @param millisPerEvent the mean time between two events; 0 when no stream has ended yet
 */
record SpeedSummary(double millisPerToken, double bestMillisPerToken, double millisPerEvent) {
  /** Assumed until the first answer: a prompt token takes this many milliseconds. */
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
    double common = tokenCount == 0 ? INITIAL_MILLIS_PER_TOKEN : tokenSum / tokenCount;
    double best = endpoints.isEmpty() ? common : Double.MAX_VALUE;
    for (EndpointLoad load : endpoints) {
      best = Math.min(best, load.speed().expectedMillisPerToken(common));
    }
    return new SpeedSummary(common, best, eventCount == 0 ? 0 : eventSum / eventCount);
  }
}
