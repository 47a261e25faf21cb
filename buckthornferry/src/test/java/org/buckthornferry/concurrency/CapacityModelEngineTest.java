package org.buckthornferry.concurrency;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.buckthornferry.concurrency.EngineFleet.Plan;
import org.buckthornferry.concurrency.EngineFleet.Result;
import org.junit.jupiter.api.Test;

/** Learned limits with the model engines; one third of them is 4.4 times slower than the others. */
class CapacityModelEngineTest {
  private static final List<Double> FLEET = LimitComparison.fleet(12);

  private static Result result(Plan plan, boolean hasLimits, int seed) {
    LimitComparison.FixedLimits none = new LimitComparison.FixedLimits(plan.factors(), 4, 4);
    return new EngineFleet(plan, hasLimits ? null : none, seed).run(20_000);
  }

  /** Guards against pauses that prompts of other requests cause while fast engines are free. */
  @Test
  void slowEnginesGetFewRequestsAtATimeWhileOthersAreFree() {
    EngineFleet fleet = new EngineFleet(LimitComparison.plan(FLEET, 40), null, 1);
    double slow = 0;
    double fast = 0;
    for (int second = 20; second < 60; second++) {
      fleet.advance(second * 1_000);
      for (int e = 0; e < FLEET.size(); e++) {
        slow += FLEET.get(e) > 1 ? fleet.limit(e) / 160.0 : 0;
        fast += FLEET.get(e) > 1 ? 0 : fleet.limit(e) / 320.0;
      }
    }
    assertThat(slow).isLessThan(2.7);
    assertThat(fast).isGreaterThan(3.5);
  }

  /** Guards against limits that refuse more than they save; probes may cost some per cent. */
  @Test
  void limitsCostLittleInOverload() {
    Plan plan = LimitComparison.plan(FLEET, 80);
    double ratio = result(plan, true, 1).valuePerSecond() / result(plan, false, 1).valuePerSecond();
    assertThat(ratio).isGreaterThan(0.95);
  }

  /** Guards against engines that stay in collapse, because all they show is full load. */
  @Test
  void enginesThatCollapseWhenFullAreRelieved() {
    Plan plan = new Plan(FLEET, 2, 0, 24, 30, 45, 1, 0, 0, 1);
    double ratio = result(plan, true, 1).valuePerSecond() / result(plan, false, 1).valuePerSecond();
    assertThat(ratio).isGreaterThan(2.0);
  }

  /** Guards against limits that stay low after an engine has recovered. */
  @Test
  void limitsRiseAgainWithinSecondsOfARecovery() {
    Plan plan = new Plan(FLEET, 9, 0, 36, 30, 45, 5, 10_000, 25_000, 1);
    EngineFleet fleet = new EngineFleet(plan, null, 1);
    fleet.advance(35_000);
    int recovered = 0;
    for (int e = 0; e < FLEET.size(); e += 3) {
      recovered += fleet.limit(e) >= 3 ? 1 : 0;
    }
    assertThat(recovered).isAtLeast(3);
  }
}
