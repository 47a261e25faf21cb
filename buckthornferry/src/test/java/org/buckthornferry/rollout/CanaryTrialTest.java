package org.buckthornferry.rollout;

import static com.google.common.truth.Truth.assertThat;

import org.buckthornferry.rollout.CanaryTrial.Ending;
import org.buckthornferry.rollout.CanaryTrial.Sample;
import org.junit.jupiter.api.Test;

final class CanaryTrialTest {
  private static final String[] ROUTES = {"a", "b", "c"};

  private final LatencyBaseline baseline = new LatencyBaseline();
  private final CanaryTrial trial = new CanaryTrial(10_000);

  /** hgl-ferry, hasty, varied, seed 657969546375. */
  @Test
  void aSlowAnswerCountsAlsoWhenFewAnswersOfItsRouteAreKnown() {
    for (int i = 0; i < 12; i++) {
      CanaryTrial.addBaselineSample(baseline, ROUTES[i % 3], 20);
    }
    assertThat(trial.add(new Sample("a", true, Ending.ANSWERED, 70), baseline)).isTrue();
    assertThat(trial.add(new Sample("a", true, Ending.ANSWERED, 22), baseline)).isFalse();
  }

  @Test
  void aVersionWithManyMoreBadAnswersThanTheOldOneIsNotSound() {
    for (int i = 0; i < 60; i++) {
      CanaryTrial.addBaselineSample(baseline, ROUTES[i % 3], 20);
      // The old version is slow at times too, so that single slow answers say little.
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
