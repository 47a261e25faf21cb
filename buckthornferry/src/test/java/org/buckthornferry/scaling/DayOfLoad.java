package org.buckthornferry.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The arrivals of one day of 34 s in three failure domains, and a loss of one of these. */
record DayOfLoad(List<Arrival> arrivals, double lossStart, double lossEnd) {
  static final double SECONDS = 34;
  static final int DOMAINS = 3;

  /** The routes take 0.71 of the slots of 63 endpoints with 4 slots at the usual demand. */
  private static final List<Route> ROUTES =
      List.of(
          new Route(55, 6.8, 1.0, 4.0, 1.5),
          new Route(60, 1.4, 1.2, 4.9, 0.9),
          new Route(70, 0.3, 1.5, 6.0, 0.6));

  /** Requests per second, value, goal and longest wait in seconds, slot time in seconds. */
  record Route(
      double perSecond, double value, double goalWait, double longestWait, double slotTime) {}

  record Arrival(double time, int domain, Route route, double slotTime) {}

  /** What happens on a day; the loss of a domain begins at 18 s and takes 6 s. */
  record Kind(String name, int jumps, boolean isShifting, boolean isLosingDomain) {}

  static DayOfLoad of(Kind kind, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[][] jumps = new double[kind.jumps][];
    for (int i = 0; i < kind.jumps; i++) {
      double start = (i + 0.2 + 0.5 * random.nextDouble()) * SECONDS / kind.jumps;
      jumps[i] = new double[] {start, start + random.nextDouble(4, 6), random.nextDouble(1.7, 2.4)};
    }
    double phase = random.nextDouble(2 * Math.PI);
    int towards = random.nextInt(DOMAINS);
    double lossStart = kind.isLosingDomain ? 18 : SECONDS;
    double lossEnd = kind.isLosingDomain ? 24 : SECONDS;
    List<Arrival> arrivals = new ArrayList<>();
    for (Route route : ROUTES) {
      for (double time = 0; time < SECONDS; ) {
        double factor = 1 + 0.15 * Math.sin(phase + 2 * Math.PI * time / SECONDS);
        for (double[] jump : jumps) {
          factor *= time >= jump[0] && time < jump[1] ? jump[2] : 1;
        }
        time += -Math.log(1 - random.nextDouble()) / (route.perSecond * factor);
        double shifted = kind.isShifting ? Math.max(0, Math.min(0.4, (time - 10) * 0.1)) : 0;
        int domain = random.nextDouble() < shifted ? towards : random.nextInt(DOMAINS);
        if (domain == 0 && time >= lossStart && time < lossEnd) {
          domain = 1 + random.nextInt(DOMAINS - 1);
        }
        arrivals.add(
            new Arrival(time, domain, route, route.slotTime * random.nextDouble(0.5, 1.5)));
      }
    }
    arrivals.sort(Comparator.comparingDouble(Arrival::time));
    return new DayOfLoad(arrivals, lossStart, lossEnd);
  }

  /** Returns the slots that the requests arriving in a second need. */
  double demandSlots(int second) {
    return arrivals.stream()
        .filter(arrival -> (int) arrival.time == second)
        .mapToDouble(Arrival::slotTime)
        .sum();
  }
}
