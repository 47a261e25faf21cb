package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SlidingCountTest {
  private static final long WINDOW_MILLIS = 1_000;

  private final SlidingCount count = new SlidingCount(WINDOW_MILLIS);

  @Test
  void sumsTheAmountsOfTheWindow() {
    count.add(2, millis(0));
    count.add(3, millis(500));
    assertThat(count.sum(millis(900))).isEqualTo(5.0);
  }

  @Test
  void forgetsAmountsThatAreOlderThanTheWindow() {
    count.add(2, millis(0));
    count.add(3, millis(500));
    assertThat(count.sum(millis(1_100))).isEqualTo(3.0);
    assertThat(count.sum(millis(10_000))).isEqualTo(0.0);
  }

  @Test
  void countsTimesBeforeTheOriginOfTheClock() {
    count.add(1, millis(-5_000));
    assertThat(count.sum(millis(-4_500))).isEqualTo(1.0);
    assertThat(count.sum(millis(-3_000))).isEqualTo(0.0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
