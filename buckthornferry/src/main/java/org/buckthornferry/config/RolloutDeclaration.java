package org.buckthornferry.config;

import java.time.Instant;
import java.util.List;
import org.buckthornferry.util.Checks;

/**
 * The rollout of a service from one version to another.
 *
 * @param moveBy the time by which all traffic must have moved to the new version
 * @param shareSteps the shares of requests that the new version gets, increasing, ending at 1
 * @param maxFailureShare the excess of the failure share over the old version's that marks the new
 *     version as faulty
 * @param maxLatencyRatio the ratio to the old version's latency that marks the new version as
 *     faulty
 */
public record RolloutDeclaration(
    String fromVersion,
    String toVersion,
    Instant moveBy,
    List<Double> shareSteps,
    double maxFailureShare,
    double maxLatencyRatio) {
  /** Checks that the versions differ and the steps increase to 1. */
  public RolloutDeclaration {
    Checks.notEmpty(fromVersion, "fromVersion");
    Checks.notEmpty(toVersion, "toVersion");
    Checks.check(!fromVersion.equals(toVersion), "toVersion must differ from fromVersion");
    Checks.notNull(moveBy, "moveBy");
    shareSteps = List.copyOf(Checks.notNull(shareSteps, "shareSteps"));
    Checks.check(stepsIncreaseToOne(shareSteps), "shareSteps must increase and end at 1");
    Checks.check(maxFailureShare > 0 && maxFailureShare < 1, "maxFailureShare must be in (0, 1)");
    Checks.check(maxLatencyRatio > 1, "maxLatencyRatio must be above 1");
  }

  private static boolean stepsIncreaseToOne(List<Double> steps) {
    double previous = 0;
    for (double step : steps) {
      if (step <= previous) {
        return false;
      }
      previous = step;
    }
    return previous == 1.0;
  }
}
