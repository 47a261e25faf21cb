package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.ServiceKind;

/** Draws the arrivals of a scenario: a Poisson process for each class, the same for each seed. */
final class ArrivalSchedule {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private ArrivalSchedule() {}

  /** Returns all arrivals ordered by their intended start. */
  static List<Arrival> of(Scenario scenario, RandomGenerator random) {
    List<Arrival> drawn = new ArrayList<>();
    for (RequestClass requestClass : scenario.classes()) {
      double phaseStart = 0;
      for (Phase phase : scenario.phases()) {
        draw(drawn, requestClass, phase, phaseStart, random);
        phaseStart += phase.seconds();
      }
    }
    drawn.sort(Comparator.comparingLong(Arrival::intendedNanos));
    List<Arrival> numbered = new ArrayList<>(drawn.size());
    for (Arrival arrival : drawn) {
      numbered.add(
          new Arrival(
              numbered.size(),
              arrival.intendedNanos(),
              arrival.phase(),
              arrival.requestClass(),
              arrival.promptTokens(),
              arrival.maxTokens()));
    }
    return numbered;
  }

  private static void draw(
      List<Arrival> drawn,
      RequestClass requestClass,
      Phase phase,
      double phaseStart,
      RandomGenerator random) {
    double rate = requestClass.ratePerSecond() * phase.rateFactor();
    if (rate <= 0) {
      return;
    }
    boolean model = requestClass.kind() == ServiceKind.MODEL;
    double at = random.nextExponential() / rate;
    while (at < phase.seconds()) {
      drawn.add(
          new Arrival(
              0,
              (long) ((phaseStart + at) * NANOS_PER_SECOND),
              phase,
              requestClass,
              model ? requestClass.promptTokens().draw(random) : 1,
              model ? requestClass.maxTokens().draw(random) : 1));
      at += random.nextExponential() / rate;
    }
  }
}
