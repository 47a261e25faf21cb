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
import org.buckthornferry.request.ClaimWorld.Node;
import org.buckthornferry.request.ClaimWorld.Request;

/**
 * Guards against second runs of non-idempotent requests, untrue "not run", wrong responses and
 * unnoticed reuse of keys under loss, duplication, reordering, pauses, crashes, owner changes and
 * store faults.
 */
class ClaimInterleavingsTest {
  private static final long MILLI = ClaimWorld.MILLI;

  /** Runs 100 schedules for each try, 10,000 in all. */
  @Property(
      tries = 100,
      seed = "20260104",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void everyInvariantHoldsInEverySchedule(@ForAll long firstSeed) {
    assertThat(schedules(firstSeed, 100, false)).isEmpty();
  }

  /** Runs 1,000 schedules in which an owner that lost its lease believes that it still has it. */
  @Property(
      tries = 10,
      seed = "20260105",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void sealingAlonePreventsSecondRunsWhenTheLeaseCheckFails(@ForAll long firstSeed) {
    List<String> found = schedules(firstSeed, 100, true);
    assertThat(found.stream().filter(v -> v.contains("second run")).toList()).isEmpty();
  }

  /** Guards against a checker that refuses "running" for an attempt that waits for the journal. */
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

  /** Schedules share nothing, so running them in parallel does not change their results. */
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
    ClaimWorld world = new ClaimWorld(seed, 3, 2, true);
    world.leaseClockStops = leaseClockStops;
    world.lossRate = world.random.nextInt(3) * 0.1;
    world.duplicateRate = world.random.nextInt(3) * 0.2;
    world.longDelayRate = world.random.nextInt(3) * 0.05;
    world.storeFaults.lostResponse = world.random.nextInt(3) * 0.15;
    world.storeFaults.lateEffect = world.random.nextInt(3) * 0.1;
    world.time.runUntil(400 * MILLI);
    for (int i = 0; i < 3; i++) {
      callRepeatedly(world, world.request("key-" + i, world.random.nextInt(4) == 0));
    }
    int faults = world.random.nextInt(7);
    for (int i = 0; i < faults; i++) {
      world.time.after(world.random.nextLong(2_500) * MILLI, () -> fault(world));
    }
    world.time.runUntil(3_400 * MILLI);
    world.heal();
    world.time.runUntil(8_500 * MILLI);
    List<Request> requests = List.copyOf(world.requests.values());
    ClaimOutcome[] last = new ClaimOutcome[requests.size()];
    for (int i = 0; i < last.length; i++) {
      int index = i;
      world.attempt(
          world.pick(world.processes), requests.get(i), 0, outcome -> last[index] = outcome);
    }
    world.time.runUntil(10_500 * MILLI);
    if (IntStream.range(0, last.length).anyMatch(i -> isStuck(requests.get(i), last[i]))) {
      world.violations.add("no definite outcome after the faults: " + Arrays.toString(last));
    }
    world.checkHistories();
    return world.violations;
  }

  /** All work has ended by now, so a booking cannot run any more. */
  private static boolean isStuck(Request request, ClaimOutcome outcome) {
    return outcome == null
        || (outcome instanceof ClaimOutcome.Running && !request.idempotent)
        || outcome instanceof ClaimOutcome.Unavailable
        || (outcome instanceof ClaimOutcome.Unknown unknown && unknown.retryAfterMillis() > 0);
  }

  private static void callRepeatedly(ClaimWorld world, Request request) {
    int attempts = 1 + world.random.nextInt(4);
    for (int i = 0; i < attempts; i++) {
      int content = world.random.nextInt(12) == 0 ? 1 : 0;
      world.time.after(
          world.random.nextLong(2_800) * MILLI,
          () -> world.attempt(world.pick(world.processes), request, content, outcome -> {}));
    }
  }

  private static void fault(ClaimWorld world) {
    switch (world.random.nextInt(5)) {
      case 0 -> world.crash(world.pick(world.processes));
      case 1, 2 -> world.pause(world.pick(world.processes), world.random.nextLong(1_500) * MILLI);
      case 3 -> world.move(world.random.nextInt(2));
      default -> {
        world.storeFaults.outage = true;
        world.time.after(
            world.random.nextLong(1_000) * MILLI, () -> world.storeFaults.outage = false);
      }
    }
  }

  /** Guards against a booking that runs again after its owner or its entry was killed. */
  @Example
  void aBookingNeverRunsTwiceInOneThousandKills() {
    int kills = 0;
    int runs = 0;
    int[] answers = {0};
    for (long seed = 0; kills < 1_000; seed++) {
      ClaimWorld world = new ClaimWorld(seed, 3, 1, false);
      world.time.runUntil(400 * MILLI);
      Node entry = world.pick(world.processes);
      List<Node> owners =
          world.processes.stream().filter(process -> process.controller.serves(0)).toList();
      Node victim = world.random.nextBoolean() ? entry : owners.get(0);
      Request booking = world.request("booking", false);
      world.attempt(entry, booking, 0, outcome -> {});
      world.time.after(world.random.nextLong(450 * MILLI), () -> world.crash(victim));
      for (int repeat = 1; repeat <= 4; repeat++) {
        world.time.after(
            repeat * 700L * MILLI,
            () ->
                world.attempt(
                    world.pick(world.processes),
                    booking,
                    0,
                    outcome -> {
                      if (outcome instanceof ClaimOutcome.Answered) {
                        answers[0]++;
                      }
                    }));
      }
      world.time.runUntil(6_000 * MILLI);
      world.checkHistories();
      assertWithMessage("seed %s", seed).that(world.violations).isEmpty();
      runs += booking.executionNanos.size();
      kills++;
    }
    assertThat(runs).isAtLeast(500);
    assertThat(answers[0]).isAtLeast(500);
  }
}
