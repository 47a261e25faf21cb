package org.buckthornferry.scaling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.buckthornferry.catalog.Service;

/**
 * Plays a day of load on virtual time against endpoints that are ordered by a {@link Scaler}. The
 * most valuable request gets the next free slot, in its own failure domain if possible. One call in
 * ten to the platform gets no reply; half of these are carried out late.
 */
final class ScalingPlay {
  static final int SLOTS = 4;
  static final int MIN = 18;
  static final int MAX = 42;
  static final double STARTUP = 8;
  private static final int INITIAL = 21;
  private static final double PRICE = 0.3;
  private static final double LATE_VALUE = 0.3;
  private static final double COLD_SECONDS = 3;
  private static final double COLD_PER_SECOND = 5.2;
  private static final int STEPS_PER_SECOND = 100;

  private final DayOfLoad day;
  private final Scaler scaler;
  private final SplittableRandom random;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final int[] desired = new int[DayOfLoad.DOMAINS];
  private final ScalingOrder[] orders = new ScalingOrder[DayOfLoad.DOMAINS];
  private final List<Delayed> delayed = new ArrayList<>();
  private final PriorityQueue<Run> runs =
      new PriorityQueue<>(Comparator.comparingDouble(run -> run.end));
  private final PriorityQueue<DayOfLoad.Arrival> waiting =
      new PriorityQueue<>(
          Comparator.comparingDouble((DayOfLoad.Arrival arrival) -> -arrival.route().value())
              .thenComparingDouble(DayOfLoad.Arrival::time));
  private final DemandRate[] demand = new DemandRate[DayOfLoad.DOMAINS];
  private final int[] lastOrdered = new int[DayOfLoad.DOMAINS];
  private final int[] lastDirection = new int[DayOfLoad.DOMAINS];
  private final Outcome outcome = new Outcome();

  /** Decides once a second how many endpoints run in each domain. */
  interface Scaler {
    Map<String, Integer> decide(Map<String, DomainLoad> loads, double[] busyShares, double seconds);
  }

  static final class Outcome {
    int served;
    double value;
    double price;
    int directionChanges;
    int calls;
    final List<Integer> orderedBySecond = new ArrayList<>();

    double net() {
      return value - price;
    }
  }

  private static final class Endpoint {
    private final int domain;
    private final double ready;
    private final double coldUntil;
    private double nextCold;
    private int running;
    private boolean isDraining;

    private Endpoint(int domain, double ready, double coldUntil) {
      this.domain = domain;
      this.ready = ready;
      this.coldUntil = coldUntil;
    }
  }

  private record Run(double end, Endpoint endpoint, DayOfLoad.Arrival arrival, double value) {}

  private record Delayed(double time, Runnable action) {}

  ScalingPlay(DayOfLoad day, Scaler scaler, long seed) {
    this.day = day;
    this.scaler = scaler;
    this.random = new SplittableRandom(seed);
    Arrays.fill(desired, INITIAL);
    Arrays.fill(lastOrdered, INITIAL);
    Arrays.fill(demand, DemandRate.NONE);
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      orders[domain] = new ScalingOrder(0);
      for (int i = 0; i < INITIAL; i++) {
        endpoints.add(new Endpoint(domain, 0, 0));
      }
    }
  }

  static Scaler fixed(int number) {
    return (loads, busyShares, seconds) -> all(domain -> number);
  }

  static Scaler decision(ScalingPolicy policy) {
    ScalingDecision decision =
        new ScalingDecision(new Service.Scaling(MIN, MAX, (long) (STARTUP * 1e3)), policy);
    return (loads, busyShares, seconds) ->
        decision.decide(loads, SLOTS, TimeUnit.SECONDS.toNanos((long) seconds));
  }

  static Scaler threshold() {
    int[] number = new int[DayOfLoad.DOMAINS];
    Arrays.fill(number, INITIAL);
    return (loads, busyShares, seconds) ->
        all(
            domain -> {
              number[domain] += busyShares[domain] > 0.8 ? 1 : busyShares[domain] < 0.5 ? -1 : 0;
              number[domain] = Math.max(MIN, Math.min(MAX, number[domain]));
              return number[domain];
            });
  }

  static Scaler oracle(DayOfLoad day) {
    return (loads, busyShares, seconds) -> {
      double slots = 0;
      for (int second = (int) seconds; second <= seconds + STARTUP + 1; second++) {
        slots = Math.max(slots, day.demandSlots(second));
      }
      double each = Math.ceil(slots / 0.95 / SLOTS / DayOfLoad.DOMAINS);
      return all(domain -> (int) Math.max(MIN, Math.min(MAX, each)));
    };
  }

  private static Map<String, Integer> all(IntFunction<Integer> number) {
    Map<String, Integer> result = new HashMap<>();
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      result.put("d" + domain, number.apply(domain));
    }
    return result;
  }

  Outcome run() {
    int next = 0;
    for (int step = 0; step < DayOfLoad.SECONDS * STEPS_PER_SECOND; step++) {
      double now = step / (double) STEPS_PER_SECOND;
      for (; next < day.arrivals().size() && day.arrivals().get(next).time() <= now; next++) {
        DayOfLoad.Arrival arrival = day.arrivals().get(next);
        waiting.add(arrival);
        count(arrival.domain(), new DemandRate(1, 0, 0, 0, 0));
      }
      if (step % STEPS_PER_SECOND == 0) {
        order(now);
        Arrays.fill(demand, DemandRate.NONE);
      }
      applyDelayed(now);
      maintain(now);
      serve(now);
    }
    return outcome;
  }

  private void count(int domain, DemandRate more) {
    demand[domain] = demand[domain].plus(more);
  }

  private void order(double now) {
    Map<String, DomainLoad> loads = new HashMap<>();
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      int own = domain;
      long queued = waiting.stream().filter(arrival -> arrival.domain() == own).count();
      count(domain, new DemandRate(0, 0, 0, queued, 0));
      int serving =
          (int) endpoints.stream().filter(e -> e.domain == own && accepts(e, now)).count();
      loads.put("d" + domain, new DomainLoad(demand[domain], serving));
    }
    Map<String, Integer> wanted = scaler.decide(loads, busyShares(now), now);
    int total = 0;
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      int number = wanted.get("d" + domain);
      total += number;
      int direction = Integer.signum(number - lastOrdered[domain]);
      outcome.directionChanges += direction * lastDirection[domain] < 0 ? 1 : 0;
      lastDirection[domain] = direction == 0 ? lastDirection[domain] : direction;
      lastOrdered[domain] = number;
      long nanos = (long) (now * 1e9);
      int serving = loads.get("d" + domain).serving();
      if (orders[domain].isDue(number, serving, (long) (STARTUP * 1e3), nanos)) {
        orders[domain].onCalled(number, nanos);
        outcome.calls++;
        call(domain, number, now);
      }
    }
    outcome.orderedBySecond.add(total);
  }

  private double[] busyShares(double now) {
    double[] busyShares = new double[DayOfLoad.DOMAINS];
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      int own = domain;
      busyShares[domain] =
          endpoints.stream()
                  .filter(e -> e.domain == own && accepts(e, now))
                  .mapToInt(e -> e.running)
                  .average()
                  .orElse(0)
              / SLOTS;
    }
    return busyShares;
  }

  private void call(int domain, int number, double now) {
    boolean hasReply = random.nextDouble() >= 0.1;
    if (hasReply || random.nextBoolean()) {
      double delay = hasReply ? random.nextDouble(0.05, 0.3) : random.nextDouble(1, 5);
      delayed.add(new Delayed(now + delay, () -> desired[domain] = number));
    }
    delayed.add(new Delayed(now + (hasReply ? 0.3 : 1), () -> orders[domain].onEnded(hasReply)));
  }

  private void applyDelayed(double now) {
    delayed.removeIf(
        entry -> {
          if (entry.time <= now) {
            entry.action.run();
          }
          return entry.time <= now;
        });
  }

  private boolean isLost(int domain, double now) {
    return domain == 0 && now >= day.lossStart() && now < day.lossEnd();
  }

  private boolean accepts(Endpoint endpoint, double now) {
    return !endpoint.isDraining && now >= endpoint.ready && !isLost(endpoint.domain, now);
  }

  /** Starts and drains endpoints until as many run as desired; the newest are drained first. */
  private void maintain(double now) {
    for (int domain = 0; domain < DayOfLoad.DOMAINS; domain++) {
      int own = domain;
      if (isLost(domain, now)) {
        endpoints.removeIf(endpoint -> endpoint.domain == own);
        runs.removeIf(run -> run.endpoint.domain == own);
        continue;
      }
      List<Endpoint> kept =
          new ArrayList<>(
              endpoints.stream().filter(e -> e.domain == own && !e.isDraining).toList());
      for (int i = kept.size(); i < desired[domain]; i++) {
        endpoints.add(new Endpoint(domain, now + STARTUP, now + STARTUP + COLD_SECONDS));
      }
      for (int i = kept.size() - 1; i >= desired[domain]; i--) {
        kept.get(i).isDraining = true;
      }
    }
    endpoints.removeIf(endpoint -> endpoint.isDraining && endpoint.running == 0);
    outcome.price += endpoints.size() * PRICE / STEPS_PER_SECOND;
  }

  private void serve(double now) {
    while (!runs.isEmpty() && runs.peek().end <= now) {
      Run run = runs.poll();
      run.endpoint.running--;
      outcome.served++;
      outcome.value += run.value;
      count(run.arrival.domain(), new DemandRate(0, run.arrival.slotTime(), 1, 0, 0));
    }
    waiting.removeIf(arrival -> now - arrival.time() > arrival.route().longestWait());
    while (!waiting.isEmpty()) {
      Endpoint endpoint = freeEndpoint(waiting.peek().domain(), now);
      if (endpoint == null) {
        return;
      }
      DayOfLoad.Arrival arrival = waiting.poll();
      endpoint.running++;
      endpoint.nextCold = now + 1 / COLD_PER_SECOND;
      boolean isOnTime = now - arrival.time() <= arrival.route().goalWait();
      double value = arrival.route().value() * (isOnTime ? 1 : LATE_VALUE);
      runs.add(new Run(now + arrival.slotTime(), endpoint, arrival, value));
    }
  }

  private Endpoint freeEndpoint(int domain, double now) {
    Endpoint other = null;
    for (Endpoint endpoint : endpoints) {
      boolean isCold = now < endpoint.coldUntil && now < endpoint.nextCold;
      if (endpoint.running >= SLOTS || isCold || !accepts(endpoint, now)) {
        continue;
      }
      if (endpoint.domain == domain) {
        return endpoint;
      }
      other = endpoint;
    }
    return other;
  }
}
