package org.buckthornferry.rollout;

import static com.google.common.truth.Truth.assertThat;

import org.buckthornferry.rollout.CanaryTrial.Ending;
import org.buckthornferry.rollout.CanaryTrial.Sample;
import org.junit.jupiter.api.Test;

final class CanaryTrialTest {
  private static final String[] ROUTES = {"a", "b", "c"};

  private final LatencyBaseline baseline = new LatencyBaseline();
  private final CanaryTrial trial = new CanaryTrial(10_000);

  /**
   * Guards against a slow version that passes because instances ignore the slow answers of a route
   * until they have seen ten answers of it. Found by a simulation of hgl-ferry (hasty, varied) with
   * seed 657969546375.
   */
  @Test
  void slowAnswerCountsWhileItsRouteHasFewSamples() {
    for (int i = 0; i < 12; i++) {
      CanaryTrial.addBaselineSample(baseline, ROUTES[i % 3], 20);
    }
    assertThat(trial.add(new Sample("a", true, Ending.ANSWERED, 70), baseline)).isTrue();
    assertThat(trial.add(new Sample("a", true, Ending.ANSWERED, 22), baseline)).isFalse();
  }

  /** Guards against a slow version that passes because the old one is slow at times too. */
  @Test
  void versionWithHighBadShareIncreaseIsFaulty() {
    for (int i = 0; i < 60; i++) {
      CanaryTrial.addBaselineSample(baseline, ROUTES[i % 3], 20);
      // The old version is slow at times too, so single slow answers are weak evidence.
      trial.add(new Sample(ROUTES[i % 3], false, Ending.ANSWERED, i % 2 == 0 ? 70 : 20), baseline);
    }
    for (int i = 0; i < 15; i++) {
      trial.add(new Sample(ROUTES[i % 3], true, Ending.ANSWERED, i % 5 == 0 ? 20 : 70), baseline);
    }
    trial.read("self", trial.readings());
    assertThat(trial.fault()).isEmpty();
    assertThat(trial.verdict(9_000)).isEqualTo(CanaryTrial.Verdict.FAULTY);
  }
}
