package org.buckthornferry.util;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SuspensionCountingClockTest {
  private long steadyMillis = 1_000;
  private long timeOfDayMillis = 500_000;
  private final SuspensionCountingClock clock =
      new SuspensionCountingClock(
          () -> TimeUnit.MILLISECONDS.toNanos(steadyMillis), () -> timeOfDayMillis);

  @Test
  void runsLikeTheSteadyClock() {
    assertThat(elapsedMillis(40, 40)).isEqualTo(40);
    assertThat(elapsedMillis(2_000, 2_001)).isEqualTo(2_000);
  }

  @Test
  void countsASuspensionThatTheSteadyClockLeavesOut() {
    assertThat(elapsedMillis(3, 5_003)).isEqualTo(5_003);
    assertThat(elapsedMillis(10, 10)).isEqualTo(10);
  }

  @Test
  void neverGoesBackWhenTheTimeOfDayDoes() {
    assertThat(elapsedMillis(100, -7_000)).isEqualTo(100);
    assertThat(elapsedMillis(100, 100)).isEqualTo(100);
  }

  private long elapsedMillis(long steady, long timeOfDay) {
    long before = clock.nanoTime();
    steadyMillis += steady;
    timeOfDayMillis += timeOfDay;
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - before);
  }
}
