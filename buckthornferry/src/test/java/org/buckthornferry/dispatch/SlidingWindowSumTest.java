package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SlidingWindowSumTest {
  private static final long WINDOW_MILLIS = 1_000;

  private final SlidingWindowSum windowSum = new SlidingWindowSum(WINDOW_MILLIS);

  @Test
  void sumsTheAmountsInTheWindow() {
    windowSum.add(2, millis(0));
    windowSum.add(3, millis(500));
    assertThat(windowSum.sum(millis(900))).isEqualTo(5.0);
  }

  @Test
  void dropsAmountsThatAreOlderThanTheWindow() {
    windowSum.add(2, millis(0));
    windowSum.add(3, millis(500));
    assertThat(windowSum.sum(millis(1_100))).isEqualTo(3.0);
    assertThat(windowSum.sum(millis(10_000))).isEqualTo(0.0);
  }

  @Test
  void acceptsNegativeTimes() {
    windowSum.add(1, millis(-5_000));
    assertThat(windowSum.sum(millis(-4_500))).isEqualTo(1.0);
    assertThat(windowSum.sum(millis(-3_000))).isEqualTo(0.0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
