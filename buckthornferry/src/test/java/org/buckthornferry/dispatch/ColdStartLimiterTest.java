package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class ColdStartLimiterTest {
  private static final double PER_SECOND = 5.2;
  private static final double OVERRUN = 1.5;
  private static final double SLACK = 5;

  @Test
  void startsEmptySoThatARestartPermitsNoExtraRequest() {
    ColdStartLimiter limiter = new ColdStartLimiter();
    assertThat(tryTake(limiter, "i0", List.of("i0"), 0)).isFalse();
    assertThat(tryTake(limiter, "i0", List.of("i0"), millis(300))).isTrue();
  }

  @Test
  void aFewInstancesShareTheRateAndTheOthersSendNothing() {
    List<String> ids = IntStream.range(0, 60).mapToObj(i -> "i" + i).toList();
    int senders = 0;
    for (String id : ids) {
      ColdStartLimiter limiter = new ColdStartLimiter();
      tryTake(limiter, id, ids, 0);
      if (tryTake(limiter, id, ids, millis(10_000))) {
        senders++;
      }
    }
    assertThat(senders).isEqualTo(5);
  }

  @Test
  void anInstanceThatKnowsNoOthersTakesASmallShare() {
    ColdStartLimiter limiter = new ColdStartLimiter();
    tryTake(limiter, "i0", List.of(), 0);
    assertThat(tryTake(limiter, "i0", List.of(), millis(2_000))).isFalse();
    assertThat(tryTake(limiter, "i0", List.of(), millis(4_000))).isTrue();
  }

  /** Instances send as fast as permitted, restart, and see different sets of live instances. */
  @Test
  void allInstancesTogetherStayWithinTheLimitInEverySecond() {
    for (int seed = 1; seed <= 60; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<String> ids = IntStream.range(0, 8).mapToObj(i -> "edge-" + i).toList();
      ColdStartLimiter[] limiters =
          IntStream.range(0, 8)
              .mapToObj(i -> new ColdStartLimiter())
              .toArray(ColdStartLimiter[]::new);
      List<Long> sent = new ArrayList<>();
      for (long now = 0; now < 10_000; now += 2) {
        int instance = random.nextInt(8);
        if (random.nextInt(1_500) == 0) {
          limiters[instance] = new ColdStartLimiter();
        }
        boolean missesOne = random.nextInt(10) == 0;
        List<String> seen = missesOne ? ids.subList(0, 7) : ids;
        if (tryTake(limiters[instance], ids.get(instance), seen, millis(now))) {
          sent.add(now);
        }
      }
      for (long start = 0; start < 10_000; start += 50) {
        long from = start;
        long count = sent.stream().filter(time -> time >= from && time < from + 1_000).count();
        assertWithMessage("seed %s from %s", seed, start)
            .that((double) count)
            .isAtMost(PER_SECOND * OVERRUN + SLACK);
      }
    }
  }

  private static boolean tryTake(
      ColdStartLimiter limiter, String instanceId, List<String> instanceIds, long nowNanos) {
    if (limiter.nextSendNanos("e1", PER_SECOND, instanceId, instanceIds, nowNanos) > nowNanos) {
      return false;
    }
    limiter.onSent(nowNanos);
    return true;
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
