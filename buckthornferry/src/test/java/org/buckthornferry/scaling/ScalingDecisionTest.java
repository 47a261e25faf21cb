package org.buckthornferry.scaling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Service;
import org.junit.jupiter.api.Test;

/** Tests the number of endpoints that are ordered. */
final class ScalingDecisionTest {
  private static final Service.Scaling TERMS = new Service.Scaling(18, 42, 8_000);
  private static final DayOfLoad.Kind JUMPS = new DayOfLoad.Kind("jumps", 3, false, false);
  private static final DayOfLoad.Kind HEAVY = new DayOfLoad.Kind("heavy", 3, true, true);
  private static final int DAYS = 5;

  private final ScalingDecision decision = new ScalingDecision(TERMS, ScalingPolicy.DEFAULT);
  private Map<String, Integer> desired;
  private long seconds;

  /** Guards against capacity that arrives after a jump has ended, and against a flapping number. */
  @Test
  void servesMoreThanTheFixedNumberOnDaysWithJumps() {
    for (DayOfLoad.Kind kind : List.of(JUMPS, HEAVY)) {
      double gained = 0;
      for (int seed = 1; seed <= DAYS; seed++) {
        DayOfLoad day = DayOfLoad.of(kind, seed);
        ScalingPlay.Scaler scaler = ScalingPlay.decision(ScalingPolicy.DEFAULT);
        ScalingPlay.Outcome ours = new ScalingPlay(day, scaler, seed).run();
        ScalingPlay.Outcome fixed = new ScalingPlay(day, ScalingPlay.fixed(21), seed).run();
        String label = kind.name() + " seed " + seed;
        assertWithMessage(label).that(ours.served).isAtLeast(fixed.served);
        assertWithMessage(label).that(ours.value).isAtLeast(fixed.value);
        // Less than three changes in each of the three failure domains.
        assertWithMessage(label).that(ours.directionChanges).isLessThan(9);
        gained += ours.net() - fixed.net();
      }
      assertWithMessage(kind.name()).that(gained).isGreaterThan(0.0);
    }
  }

  /** Guards against paying for capacity that nobody needs. */
  @Test
  void reducesInSmallStepsToTheMinimumWithoutDemand() {
    play(20, 60, 21, 21, 21);
    int before = desired.get("a");
    for (int i = 0; i < 200; i++) {
      int last = desired.get("a");
      play(1, 1, 21, 21, 21);
      assertThat(last - desired.get("a")).isIn(List.of(0, 1));
    }
    assertThat(before).isGreaterThan(18);
    assertThat(desired).containsExactly("a", 18, "b", 18, "c", 18);
  }

  /** Guards against giving up what the last seconds needed. */
  @Test
  void keepsWhatTheLastPeakNeeded() {
    play(20, 40, 21, 21, 21);
    play(2, 120, 30, 30, 30);
    play(9, 20, 30, 30, 30);
    // 360 slots at a utilization of 0.9.
    assertThat(desired.values().stream().mapToInt(n -> n).sum()).isAtLeast(100);
  }

  /** Guards against a lost failure domain whose work nobody takes over. */
  @Test
  void movesTheWorkOfALostDomainAndKeepsItsNumber() {
    play(60, 70, 21, 21, 21);
    Map<String, Integer> before = new HashMap<>(desired);
    play(1, 70, 0, 21, 21);
    assertThat(desired.get("a")).isEqualTo(before.get("a"));
    // 210 slots at a utilization of 0.9 in two domains.
    assertThat(desired.get("b")).isAtLeast(30);
    play(10, 200, 0, 30, 30);
    assertThat(desired.get("b")).isEqualTo(42);
  }

  /** Guards against a new holder that cancels what its predecessor ordered. */
  @Test
  void continuesFromTheNumberOfAnEarlierHolder() {
    for (String domain : List.of("a", "b", "c")) {
      decision.setOrdered(domain, 35, 0);
    }
    play(5, 40, 21, 21, 21);
    assertThat(desired).containsExactly("a", 35, "b", 35, "c", 35);
  }

  /** Guards against orders that are lost, pile up or come faster than the platform allows. */
  @Test
  void repeatsAnOrderOnlyUntilItIsAnswered() {
    ScalingOrder order = new ScalingOrder(0);
    assertThat(order.isDue(30, 21, 8_000, 0)).isTrue();
    order.onCalled(30, 0);
    assertThat(order.isDue(31, 21, 8_000, TimeUnit.SECONDS.toNanos(3))).isFalse();
    order.onEnded(false);
    assertThat(order.isDue(30, 21, 8_000, TimeUnit.SECONDS.toNanos(1))).isFalse();
    assertThat(order.isDue(30, 21, 8_000, TimeUnit.SECONDS.toNanos(2))).isTrue();
    order.onCalled(30, TimeUnit.SECONDS.toNanos(2));
    order.onEnded(true);
    assertThat(order.isDue(30, 21, 8_000, TimeUnit.SECONDS.toNanos(15))).isFalse();
    assertThat(order.isDue(30, 30, 8_000, TimeUnit.SECONDS.toNanos(16))).isFalse();
    // A late call has changed the number since.
    assertThat(order.isDue(30, 28, 8_000, TimeUnit.SECONDS.toNanos(30))).isFalse();
    assertThat(order.isDue(30, 28, 8_000, TimeUnit.SECONDS.toNanos(37))).isTrue();
  }

  /** Plays seconds in which each domain needs a number of slots, with requests of one second. */
  private void play(int count, int slots, int... serving) {
    for (int i = 0; i < count; i++) {
      Map<String, DomainLoad> loads = new HashMap<>();
      for (int domain = 0; domain < serving.length; domain++) {
        loads.put(
            String.valueOf((char) ('a' + domain)),
            new DomainLoad(new DemandRate(slots, slots, slots, 0, 0), serving[domain]));
      }
      desired = decision.decide(loads, 4, TimeUnit.SECONDS.toNanos(seconds++));
    }
  }
}
