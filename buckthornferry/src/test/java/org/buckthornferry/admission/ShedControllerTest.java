package org.buckthornferry.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class ShedControllerTest {
  private static final int STEPS = 300;

  /** Guards against a tier that is shed while another instance accepts a lower one. */
  @Test
  void noInstanceShedsWhileAnotherAcceptsLowerTier() {
    runInterleavings(10_000);
  }

  /** Guards against the same in rarer interleavings; the count is a system property. */
  @Test
  @Tag("long-run")
  void noInstanceShedsWhileAnotherAcceptsLowerTierInManyInterleavings() {
    runInterleavings(Integer.getInteger("shed.interleavings", 1_000_000));
  }

  private static void runInterleavings(int count) {
    LongAdder sheds = new LongAdder();
    LongAdder reachedCritical = new LongAdder();
    IntStream.range(0, count)
        .parallel()
        .forEach(
            seed -> {
              ShedHistory history = new ShedHistory(seed);
              String broken = history.run(STEPS);
              assertWithMessage("seed %s", seed).that(broken).isNull();
              sheds.add(history.sheds());
              reachedCritical.add(history.highest() == ShedLevel.CRITICAL ? 1 : 0);
            });
    // Without these the property would hold for a controller that never sheds.
    assertThat(sheds.sum()).isGreaterThan((long) count);
    assertThat(reachedCritical.sum()).isGreaterThan(count / 100L);
  }
}
