package org.buckthornferry.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

class ArrivalScheduleTest {
  /** Guards against runs of one seed that cannot be compared. */
  @Test
  void sameSeedDrawsTheSameArrivalsInOrder() throws IOException {
    Scenario scenario = Scenario.read(Path.of("..", "deploy", "hooghly", "load.json"));
    List<Arrival> arrivals = ArrivalSchedule.of(scenario, random());
    assertThat(ArrivalSchedule.of(scenario, random())).isEqualTo(arrivals);
    assertThat(arrivals).isInOrder(Comparator.comparingLong(Arrival::intendedNanos));
  }

  /** Guards against a load that is not the one that the scenario states. */
  @Test
  void rateFactorScalesTheNumberOfArrivals() throws IOException {
    Scenario scenario = Scenario.read(Path.of("..", "deploy", "hooghly", "load.json"));
    double expected =
        scenario.classes().stream().mapToDouble(RequestClass::ratePerSecond).sum()
            * scenario.phases().stream().mapToDouble(p -> p.seconds() * p.rateFactor()).sum();
    int drawn = ArrivalSchedule.of(scenario.scaled(2, 3), random()).size();
    assertThat((double) drawn).isWithin(expected * 6 * 0.05).of(expected * 6);
  }

  private static RandomGenerator random() {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(3);
  }
}
