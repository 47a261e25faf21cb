package org.buckthornferry.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class ShedControllerTest {
  private static final int STEPS = 300;

  /** Guards against an instance that sheds a tier while another one accepts a lower tier. */
  @Test
  void noInstanceShedsWhileAnotherAcceptsLowerTier() {
    runInterleavings(10_000);
  }

  /** Checks many more interleavings for rarer violations; the count is a system property. */
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
              ShedSimulation simulation = new ShedSimulation(seed);
              String violation = simulation.run(STEPS);
              assertWithMessage("seed %s", seed).that(violation).isNull();
              sheds.add(simulation.sheds());
              reachedCritical.add(simulation.highest() == ShedLevel.CRITICAL ? 1 : 0);
            });
    // Otherwise a controller that never sheds would pass.
    assertThat(sheds.sum()).isGreaterThan((long) count);
    assertThat(reachedCritical.sum()).isGreaterThan(count / 100L);
  }
}
