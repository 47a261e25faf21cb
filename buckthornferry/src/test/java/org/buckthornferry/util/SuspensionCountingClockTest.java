package org.buckthornferry.util;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SuspensionCountingClockTest {
  private long monotonicMillis = 1_000;
  private long wallClockMillis = 500_000;
  private final SuspensionCountingClock clock =
      new SuspensionCountingClock(
          () -> TimeUnit.MILLISECONDS.toNanos(monotonicMillis), () -> wallClockMillis);

  @Test
  void advancesWithTheMonotonicClock() {
    assertThat(elapsedMillis(40, 40)).isEqualTo(40);
    assertThat(elapsedMillis(2_000, 2_001)).isEqualTo(2_000);
  }

  @Test
  void countsASuspensionThatTheMonotonicClockLeavesOut() {
    assertThat(elapsedMillis(3, 5_003)).isEqualTo(5_003);
    assertThat(elapsedMillis(10, 10)).isEqualTo(10);
  }

  @Test
  void neverDecreasesWhenTheWallClockStepsBack() {
    assertThat(elapsedMillis(100, -7_000)).isEqualTo(100);
    assertThat(elapsedMillis(100, 100)).isEqualTo(100);
  }

  private long elapsedMillis(long monotonic, long wallClock) {
    long before = clock.nanoTime();
    monotonicMillis += monotonic;
    wallClockMillis += wallClock;
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - before);
  }
}
