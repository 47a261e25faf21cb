package org.buckthornferry.concurrency;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CapacityModelTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int ENDPOINTS = 6;

  private final CapacityModel model = newModel(LimitPolicy.LEARNED);
  private final Random random = new Random(7);

  private static CapacityModel newModel(LimitPolicy policy) {
    CapacityModel model = new CapacityModel(policy);
    model.setEndpoints(
        IntStream.range(0, ENDPOINTS).boxed().collect(Collectors.toMap(i -> "e" + i, i -> 4)));
    return model;
  }

  private static Observation answer(String instance, int concurrency, double factor, double gap) {
    return new Observation(
        instance, concurrency, 1_200, 40 * factor, 21, 400 * factor, gap, 1_000, 200);
  }

  private CapacityEstimate estimate(String id, long nowNanos) {
    return model.estimate(id, nowNanos);
  }

  /**
   * Reports two answers a second of e0 and e1, the former with a factor. At factor 1 they do not
   * overlap, so that an answer at concurrency 1 was alone.
   */
  private long observe(long fromNanos, int seconds, double factor, double gapMillis) {
    long nowNanos = fromNanos;
    for (int i = 0; i < 2 * seconds; i++) {
      nowNanos += SECOND / 2;
      int concurrency = 1 + random.nextInt(4);
      model.observe("e0", answer("i" + i % 5, concurrency, factor, gapMillis), nowNanos);
      model.observe("e1", answer("i" + i % 5, concurrency, 1, 20), nowNanos);
    }
    return nowNanos;
  }

  /** Guards against endpoints that are never tried because nothing is known about them. */
  @Test
  void anUnknownEndpointHasAllSlotsAndTheMeanSpeed() {
    long nowNanos = observe(0, 5, 3, 20);
    CapacityEstimate unknown = estimate("e5", nowNanos);
    assertThat(unknown.limit()).isEqualTo(4);
    assertThat(unknown.observations()).isEqualTo(0);
    assertThat(unknown.millisPerToken()).isWithin(1e-9).of(model.meanMillisPerToken());
    assertThat(unknown.millisPerEvent()).isWithin(1e-9).of(model.meanMillisPerEvent());
  }

  /** Guards against limits out of range after unusual times, and against ignored prescriptions. */
  @Test
  void theLimitStaysBetweenOneAndTheSlots() {
    CapacityModel capped = newModel(new LimitPolicy(OptionalInt.of(3), OptionalInt.empty()));
    CapacityModel pinned = newModel(new LimitPolicy(OptionalInt.empty(), OptionalInt.of(9)));
    for (int i = 0; i < 2_000; i++) {
      double factor = Math.exp(3 * random.nextGaussian());
      Observation answer = answer("i" + i % 5, random.nextInt(7), factor, 60 * factor);
      for (CapacityModel each : List.of(model, capped, pinned)) {
        each.observe("e0", answer, i * SECOND / 10);
        each.onFull("e" + i % 2, i % 6, i * SECOND / 10);
        CapacityEstimate estimate = each.estimate("e0", i * SECOND / 10);
        assertThat(estimate.limit()).isAtLeast(1);
        assertThat(estimate.limit()).isAtMost(each == capped ? 3 : 4);
        assertThat(estimate.millisPerToken()).isGreaterThan(0.0);
        assertThat(estimate.unloadedMillisPerEvent()).isAtLeast(0.0);
      }
      assertThat(pinned.estimate("e5", 0).limit()).isEqualTo(4);
    }
  }

  /** Guards against a lower limit where it cannot help: single requests miss the goals, too. */
  @Test
  void aLimitDoesNotFallWhenSingleRequestsMissTheGoals() {
    long nowNanos = observe(0, 15, 12, 400);
    assertThat(estimate("e0", nowNanos).limit()).isEqualTo(4);
    // Here the mean pace is good, and only the longest pause is too long.
    nowNanos = observe(nowNanos, 30, 1, 400);
    assertThat(estimate("e0", nowNanos).limit()).isEqualTo(4);
  }

  /** Guards against lost capacity everywhere when one of three instances lacks processor time. */
  @Test
  void aSlowInstanceDoesNotLowerLimitsOrSpeeds() {
    for (int i = 0; i < 600; i++) {
      String instance = "i" + random.nextInt(3);
      double factor = instance.equals("i0") ? 4 : 1;
      Observation answer = answer(instance, 1 + random.nextInt(4), factor, 80 * factor);
      model.observe("e" + i % ENDPOINTS, answer, i * SECOND / 20);
    }
    for (int e = 0; e < ENDPOINTS; e++) {
      CapacityEstimate estimate = estimate("e" + e, 30 * SECOND);
      assertThat(estimate.limit()).isEqualTo(4);
      assertThat(estimate.millisPerEvent()).isLessThan(1.5 * 20);
    }
  }

  /** Guards against requests that are sent to an endpoint for long after it has become slow. */
  @Test
  void thePresentSpeedFollowsAChangeWithinSeconds() {
    for (double factor : new double[] {2.5, 5}) {
      long nowNanos = observe(0, 10, 1, 20);
      nowNanos = observe(nowNanos, 4, factor, 20);
      assertThat(estimate("e0", nowNanos).millisPerEvent()).isGreaterThan(0.7 * factor * 20);
      nowNanos = observe(nowNanos, 4, 1, 20);
      assertThat(estimate("e0", nowNanos).millisPerEvent()).isLessThan(1.4 * 20);
    }
  }

  /** Guards against limits and speeds that swing with disturbances of 600 ms. */
  @Test
  void noiseDoesNotChangeLimitOrUnloadedSpeed() {
    int changes = 0;
    long nowNanos = observe(0, 5, 1, 20);
    int limit = estimate("e0", nowNanos).limit();
    for (int i = 0; i < 240; i++) {
      nowNanos += SECOND / 4;
      boolean isNoisy = i % 16 < 3;
      model.observe("e0", answer("i" + i % 5, 4, isNoisy ? 2.5 : 1, isNoisy ? 210 : 80), nowNanos);
      CapacityEstimate estimate = estimate("e0", nowNanos);
      changes += estimate.limit() == limit ? 0 : 1;
      limit = estimate.limit();
      assertThat(estimate.unloadedMillisPerEvent()).isLessThan(1.6 * 20);
    }
    // Two probes of a lower limit a minute, with a change at the start and at the end.
    assertThat(changes).isAtMost(4);
  }

  /** Guards against an endpoint that is avoided for ever because it was slow once. */
  @Test
  void estimatesDriftToTheMeanWithoutObservations() {
    long nowNanos = observe(0, 10, 5, 210);
    double before = estimate("e0", nowNanos).millisPerEvent();
    CapacityEstimate later = estimate("e0", nowNanos + 60 * SECOND);
    double mean = model.meanMillisPerEvent();
    assertThat(later.millisPerEvent() - mean).isLessThan((before - mean) / 5);
    assertThat(later.limit()).isEqualTo(4);
    assertThat(later.ageMillis()).isEqualTo(60_000);
  }

  /** Guards against repeated reservations at a full endpoint, and against a lasting loss of it. */
  @Test
  void aRejectedReservationLowersTheLimitForAMoment() {
    model.onFull("e0", 3, SECOND);
    assertThat(estimate("e0", SECOND).limit()).isEqualTo(2);
    assertThat(estimate("e0", 3 * SECOND).limit()).isEqualTo(4);
  }

  /** Guards against a new coordinator that starts without, or with outdated, estimates. */
  @Test
  void exportedEstimatesAreTakenOverWhereNothingIsKnown() {
    long nowNanos = observe(0, 10, 3, 20);
    List<ExportedEstimate> all = model.changedSince(0, 64);
    assertThat(all).hasSize(2);
    assertThat(model.changedSince(0, 1)).containsExactly(all.get(0));
    assertThat(model.changedSince(all.get(1).version(), 64)).isEmpty();
    CapacityModel next = newModel(LimitPolicy.LEARNED);
    next.observe("e1", answer("i0", 1, 2, 20), SECOND);
    next.importIfUnknown(all, SECOND);
    assertThat(next.estimate("e0", SECOND).millisPerEvent()).isWithin(15).of(60);
    assertThat(next.estimate("e1", SECOND).millisPerEvent()).isWithin(1).of(40);
    for (int i = 0; i < 5; i++) {
      next.observe("e0", answer("i0", 1, 1, 20), 2 * SECOND);
    }
    assertThat(next.estimate("e0", 2 * SECOND).millisPerEvent()).isLessThan(30.0);
    model.setEndpoints(Map.of("e1", 4));
    assertThat(model.changedSince(0, 64)).hasSize(1);
    assertThat(model.describe(nowNanos)).hasSize(1);
    assertThat(model.describe(nowNanos).get(0)).startsWith("e1 limit=4 slots=4 unloaded_ms_per");
  }
}
