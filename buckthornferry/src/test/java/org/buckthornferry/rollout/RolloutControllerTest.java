package org.buckthornferry.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.buckthornferry.rollout.RolloutFleet.NewVersion;

class RolloutControllerTest {
  private static final int INSTANCES = 8;
  private static final long MOVE_BY_MILLIS = 180_000;
  private static final long END_MILLIS = 185_000;

  /** 120 requests per second of 0.2 s each keep three endpoints with 8 concurrent requests busy. */
  private static final double REQUESTS_PER_TICK = 1.2;

  /** The limit of failed requests at a bad version in a 10-minute window. */
  private static final int MAX_FAILED = 20;

  /** The time from the first rollback within which the last request may still be dispatched. */
  private static final long MAX_STOP_MILLIS = 1_000;

  private static RolloutFleet run(long seed, NewVersion newVersion) {
    RolloutFleet fleet = new RolloutFleet(seed, INSTANCES, MOVE_BY_MILLIS, 0.05, newVersion);
    fleet.runUntil(END_MILLIS, REQUESTS_PER_TICK);
    return fleet;
  }

  private static void assertRolledBack(RolloutFleet fleet) {
    for (int i = 0; i < INSTANCES; i++) {
      assertThat(fleet.phase(i)).isEqualTo(RolloutPhase.TAKEN_BACK);
    }
    assertThat(fleet.newFailed).isAtMost(MAX_FAILED);
    assertThat(fleet.lastNewDispatchMillis).isAtMost(fleet.firstRollbackMillis + MAX_STOP_MILLIS);
  }

  /** Guards against the rollback of a sound version by chance or due to lost messages. */
  @Property(seed = "11", tries = 100)
  void soundVersionCompletesInTime(@ForAll @IntRange(min = 1) int seed) {
    RolloutFleet fleet = run(seed, (now, route, running) -> 0.001);
    for (int i = 0; i < INSTANCES; i++) {
      assertThat(fleet.phase(i)).isEqualTo(RolloutPhase.DONE);
    }
  }

  /** Guards against too many failed requests at a version that fails from its first request. */
  @Property(seed = "12", tries = 40)
  void versionThatFailsAtOnceIsRolledBack(
      @ForAll @IntRange(min = 1) int seed, @ForAll @IntRange(min = 20, max = 100) int percent) {
    assertRolledBack(run(seed, (now, route, running) -> percent / 100.0));
  }

  /** Guards against a later fault that is hidden by the evidence of many good requests. */
  @Property(seed = "13", tries = 40)
  void versionThatFailsLaterIsRolledBack(
      @ForAll @IntRange(min = 1) int seed,
      @ForAll @IntRange(min = 5_000, max = 170_000) int failsFromMillis,
      @ForAll @IntRange(min = 20, max = 100) int percent) {
    assertRolledBack(
        run(seed, (now, route, running) -> now < failsFromMillis ? 0.001 : percent / 100.0));
  }

  /** Guards against a step that passes although the version was never tested under load. */
  @Property(seed = "14", tries = 40)
  void versionThatFailsUnderLoadIsRolledBack(@ForAll @IntRange(min = 1) int seed) {
    assertRolledBack(run(seed, (now, route, running) -> running > 5 ? 0.6 : 0.001));
  }

  /** Guards against a fault on one route that is hidden by the evidence of another. */
  @Property(seed = "15", tries = 40)
  void versionThatFailsOnOneRouteIsRolledBack(@ForAll @IntRange(min = 1) int seed) {
    assertRolledBack(run(seed, (now, route, running) -> route.equals("/review") ? 0.5 : 0.001));
  }

  /** Guards against a version that answers every request but too slowly. */
  @Property(seed = "16", tries = 40)
  void slowVersionIsRolledBack(@ForAll @IntRange(min = 1) int seed) {
    RolloutFleet fleet =
        run(
            seed,
            new NewVersion() {
              @Override
              public double failureRate(long nowMillis, String route, int running) {
                return 0.001;
              }

              @Override
              public double slowFactor(long nowMillis) {
                return 4;
              }
            });
    assertRolledBack(fleet);
  }

  /** Guards against instances that never end a rollout when its leader dies early. */
  @Example
  void instancesEndRolloutWithoutLeader() {
    RolloutFleet fleet =
        new RolloutFleet(7, INSTANCES, MOVE_BY_MILLIS, 0.05, (now, route, running) -> 0.001);
    fleet.runUntil(8_000, REQUESTS_PER_TICK);
    fleet.stopped[0] = true;
    fleet.runUntil(END_MILLIS, REQUESTS_PER_TICK);
    for (int i = 1; i < INSTANCES; i++) {
      assertWithMessage("instance %s", i).that(fleet.phase(i)).isEqualTo(RolloutPhase.TAKEN_BACK);
    }
  }
}
