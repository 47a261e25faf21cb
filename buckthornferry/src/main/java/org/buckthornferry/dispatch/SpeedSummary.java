package org.buckthornferry.dispatch;

import java.util.Collection;

/**
 * What the endpoints of a service show together about speed; computed once after each change.
 *
 * @param millisPerToken the mean time to the first event for a prompt token
 * @param bestMillisPerToken the same at the fastest endpoint
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
    double best = Double.MAX_VALUE;
    for (EndpointLoad load : endpoints) {
      SpeedEstimate speed = load.speed();
      if (speed.isKnown()) {
        tokenSum += speed.millisPerToken();
        tokenCount++;
        best = Math.min(best, speed.millisPerToken());
      }
      if (speed.millisPerEvent() > 0) {
        eventSum += speed.millisPerEvent();
        eventCount++;
      }
    }
    double common = tokenCount == 0 ? INITIAL_MILLIS_PER_TOKEN : tokenSum / tokenCount;
    boolean hasUnknown = tokenCount < endpoints.size() || endpoints.isEmpty();
    return new SpeedSummary(
        common,
        hasUnknown ? Math.min(best, common) : best,
        eventCount == 0 ? 0 : eventSum / eventCount);
  }
}
