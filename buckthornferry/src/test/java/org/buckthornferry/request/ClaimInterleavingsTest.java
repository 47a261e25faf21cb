package org.buckthornferry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import org.buckthornferry.request.ClaimSimulation.Node;
import org.buckthornferry.request.ClaimSimulation.Request;

/**
 * Guards against repeated runs of non-idempotent requests, false "not run" outcomes, wrong
 * responses and undetected reuse of keys, under message loss, duplication, reordering, pauses,
 * crashes, owner changes and store faults.
 */
class ClaimInterleavingsTest {
  private static final long NANOS_PER_MILLI = ClaimSimulation.NANOS_PER_MILLI;

  /** Runs 100 schedules for each try, 10,000 in all. */
  @Property(
      tries = 100,
      seed = "20260104",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void everyInvariantHoldsInEverySchedule(@ForAll long firstSeed) {
    assertThat(schedules(firstSeed, 100, false)).isEmpty();
  }

  /** Runs 1,000 schedules in which an owner that lost its lease believes that it still holds it. */
  @Property(
      tries = 10,
      seed = "20260105",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void sealingAlonePreventsSecondRunsWhenTheLeaseCheckFails(@ForAll long firstSeed) {
    List<String> found = schedules(firstSeed, 100, true);
    assertThat(found.stream().filter(v -> v.contains("second run")).toList()).isEmpty();
  }

  /** Guards against a checker that rejects "running" while another attempt awaits its commit. */
  @Example
  void waitingAttemptCountsAsRunning() {
    assertThat(schedule(331_594, false)).isEmpty();
    assertThat(schedule(343_509, false)).isEmpty();
  }

  @Example
  @Tag("long-run")
  void everyInvariantHoldsInManySchedules() {
    assertThat(schedules(0, Integer.getInteger("claims.interleavings", 1_000_000), false))
        .isEmpty();
  }

  /** Schedules share no state, so running them in parallel does not change their results. */
  private static List<String> schedules(long firstSeed, int count, boolean leaseClockStops) {
    return IntStream.range(0, count)
        .parallel()
        .mapToObj(i -> firstSeed + i)
        .flatMap(
            seed -> schedule(seed, leaseClockStops).stream().map(v -> "seed " + seed + ": " + v))
        .limit(5)
        .toList();
  }

  static List<String> schedule(long seed, boolean leaseClockStops) {
    ClaimSimulation simulation = new ClaimSimulation(seed, 3, 2, true);
    simulation.leaseClockStops = leaseClockStops;
    simulation.lossRate = simulation.random.nextInt(3) * 0.1;
    simulation.duplicateRate = simulation.random.nextInt(3) * 0.2;
    simulation.longDelayRate = simulation.random.nextInt(3) * 0.05;
    simulation.storeFaults.lostResponse = simulation.random.nextInt(3) * 0.15;
    simulation.storeFaults.lateEffect = simulation.random.nextInt(3) * 0.1;
    simulation.time.runUntil(400 * NANOS_PER_MILLI);
    for (int i = 0; i < 3; i++) {
      callRepeatedly(simulation, simulation.request("key-" + i, simulation.random.nextInt(4) == 0));
    }
    int faults = simulation.random.nextInt(7);
    for (int i = 0; i < faults; i++) {
      simulation.time.after(
          simulation.random.nextLong(2_500) * NANOS_PER_MILLI, () -> injectFault(simulation));
    }
    simulation.time.runUntil(3_400 * NANOS_PER_MILLI);
    simulation.clearFaults();
    simulation.time.runUntil(8_500 * NANOS_PER_MILLI);
    List<Request> requests = List.copyOf(simulation.requests.values());
    ClaimOutcome[] last = new ClaimOutcome[requests.size()];
    for (int i = 0; i < last.length; i++) {
      int index = i;
      simulation.attempt(
          simulation.pick(simulation.processes),
          requests.get(i),
          0,
          outcome -> last[index] = outcome);
    }
    simulation.time.runUntil(10_500 * NANOS_PER_MILLI);
    if (IntStream.range(0, last.length)
        .anyMatch(i -> lacksDefiniteOutcome(requests.get(i), last[i]))) {
      simulation.violations.add("no definite outcome after the faults: " + Arrays.toString(last));
    }
    simulation.checkHistories();
    return simulation.violations;
  }

  /** All work has ended by now, so a non-idempotent request can no longer be running. */
  private static boolean lacksDefiniteOutcome(Request request, ClaimOutcome outcome) {
    return outcome == null
        || (outcome instanceof ClaimOutcome.Running && !request.idempotent)
        || outcome instanceof ClaimOutcome.Unavailable
        || (outcome instanceof ClaimOutcome.Unknown unknown && unknown.retryAfterMillis() > 0);
  }

  private static void callRepeatedly(ClaimSimulation simulation, Request request) {
    int attempts = 1 + simulation.random.nextInt(4);
    for (int i = 0; i < attempts; i++) {
      int content = simulation.random.nextInt(12) == 0 ? 1 : 0;
      simulation.time.after(
          simulation.random.nextLong(2_800) * NANOS_PER_MILLI,
          () ->
              simulation.attempt(
                  simulation.pick(simulation.processes), request, content, outcome -> {}));
    }
  }

  private static void injectFault(ClaimSimulation simulation) {
    switch (simulation.random.nextInt(5)) {
      case 0 -> simulation.crash(simulation.pick(simulation.processes));
      case 1, 2 ->
          simulation.pause(
              simulation.pick(simulation.processes),
              simulation.random.nextLong(1_500) * NANOS_PER_MILLI);
      case 3 -> simulation.move(simulation.random.nextInt(2));
      default -> {
        simulation.storeFaults.outage = true;
        simulation.time.after(
            simulation.random.nextLong(1_000) * NANOS_PER_MILLI,
            () -> simulation.storeFaults.outage = false);
      }
    }
  }

  /** Guards against a second run after the crash of the claim's owner or the receiving instance. */
  @Example
  void nonIdempotentRequestNeverRunsTwiceInOneThousandCrashes() {
    int crashes = 0;
    int runs = 0;
    int[] answers = {0};
    for (long seed = 0; crashes < 1_000; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 3, 1, false);
      simulation.time.runUntil(400 * NANOS_PER_MILLI);
      Node entry = simulation.pick(simulation.processes);
      List<Node> owners =
          simulation.processes.stream().filter(process -> process.controller.serves(0)).toList();
      Node victim = simulation.random.nextBoolean() ? entry : owners.get(0);
      Request booking = simulation.request("booking", false);
      simulation.attempt(entry, booking, 0, outcome -> {});
      simulation.time.after(
          simulation.random.nextLong(450 * NANOS_PER_MILLI), () -> simulation.crash(victim));
      for (int repeat = 1; repeat <= 4; repeat++) {
        simulation.time.after(
            repeat * 700L * NANOS_PER_MILLI,
            () ->
                simulation.attempt(
                    simulation.pick(simulation.processes),
                    booking,
                    0,
                    outcome -> {
                      if (outcome instanceof ClaimOutcome.Answered) {
                        answers[0]++;
                      }
                    }));
      }
      simulation.time.runUntil(6_000 * NANOS_PER_MILLI);
      simulation.checkHistories();
      assertWithMessage("seed %s", seed).that(simulation.violations).isEmpty();
      runs += booking.executionNanos.size();
      crashes++;
    }
    assertThat(runs).isAtLeast(500);
    assertThat(answers[0]).isAtLeast(500);
  }
}
