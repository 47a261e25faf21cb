package org.buckthornferry.fleetqueue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Callers of three routes with a burst, and endpoints of which a third is 4.4 times slower, in
 * virtual time. A slot serves one request at a time; callers leave after their patience and retry
 * once after a refusal.
 */
final class CallerLoad {
  static final int SLOTS = 4;
  static final long MESSAGE_MICROS = 1_000;
  private static final double TOKENS_PER_MILLI = 56.1;
  private static final double MILLIS_PER_EVENT = 25.8;
  private static final double FAST = 0.68;
  private static final double SLOW = 3.0;

  /** The slot time that an instance's share of the endpoints offers, against the base load. */
  private static final double BASE_LOAD = 0.9;

  private static final long LENGTH_MICROS = 14_000_000;
  private static final long BURST_START_MICROS = 4_000_000;
  private static final long BURST_END_MICROS = 10_000_000;

  /** A route; its value is known to the test only. */
  enum Route {
    SUMMARY(0, 0.41, 1.6, 3_720, 30, 827, 12_407, 6.5, 1.9),
    BRIEF(1, 0.31, 1, 2_890, 13, 1_219, 6_096, 1.4, 0.41),
    QUESTION(2, 0.28, 2.6, 1_110, 43, 1_511, 15_112, 0.43, 0.13);

    final int priority;
    final double share;
    final double burstFactor;
    final int promptTokens;
    final int events;
    final long goalMillis;
    final long deadlineMillis;
    final double value;
    final double lateValue;

    Route(
        int priority,
        double share,
        double burstFactor,
        int promptTokens,
        int events,
        long goalMillis,
        long deadlineMillis,
        double value,
        double lateValue) {
      this.priority = priority;
      this.share = share;
      this.burstFactor = burstFactor;
      this.promptTokens = promptTokens;
      this.events = events;
      this.goalMillis = goalMillis;
      this.deadlineMillis = deadlineMillis;
      this.value = value;
      this.lateValue = lateValue;
    }

    long patienceMillis() {
      return Math.max(2_000, 4 * goalMillis);
    }

    /** Returns the slot time of a request at an endpoint with a speed factor, in milliseconds. */
    double runMillis(double factor) {
      return factor * (promptTokens / TOKENS_PER_MILLI + events * MILLIS_PER_EVENT);
    }

    double firstEventMillis(double factor) {
      return factor * (promptTokens / TOKENS_PER_MILLI + MILLIS_PER_EVENT);
    }
  }

  /** A caller's request and what becomes of it. */
  static final class Caller {
    final Route route;
    final int instance;
    final long arrivalMicros;
    boolean hasRetried;
    long firstEventMicros = -1;
    boolean isRefused;

    Caller(Route route, int instance, long arrivalMicros) {
      this.route = route;
      this.instance = instance;
      this.arrivalMicros = arrivalMicros;
    }

    boolean isOnTime() {
      return firstEventMicros >= 0 && firstEventMicros - arrivalMicros <= 1_000 * route.goalMillis;
    }

    boolean isServed() {
      return firstEventMicros >= 0;
    }

    double value() {
      return isOnTime() ? route.value : isServed() ? route.lateValue : 0;
    }

    long goalMicros() {
      return arrivalMicros + 1_000 * route.goalMillis;
    }

    long deadlineMicros() {
      return arrivalMicros + 1_000 * route.deadlineMillis;
    }
  }

  /** An endpoint that rejects reservations beyond its slots. */
  static final class Engine {
    final String id;
    final double factor;
    int running;

    private Engine(int index) {
      this.id = "e" + index;
      this.factor = index % 3 == 2 ? SLOW : FAST;
    }
  }

  /** How requests are scheduled. */
  interface Scheduling {
    /** Handles a request that has reached its instance. */
    void onArrival(Caller caller);

    /** Handles the end of a run. */
    void onEnd(Caller caller, Engine engine);
  }

  private record Event(long atMicros, long order, Runnable action) {}

  final List<Caller> callers = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private final SplittableRandom random;
  private final int instances;
  private Scheduling scheduling;
  private long nowMicros;
  private long eventCount;

  CallerLoad(int instances, int endpoints, long seed) {
    this.instances = instances;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < endpoints; i++) {
      engines.add(new Engine(i));
    }
  }

  long nowNanos() {
    return 1_000 * nowMicros;
  }

  void after(long micros, Runnable action) {
    eventCount++;
    events.add(new Event(nowMicros + micros, eventCount, action));
  }

  Engine engine(String id) {
    return engines.get(Integer.parseInt(id.substring(1)));
  }

  /** Plays the load until no caller waits. */
  void play(Scheduling newScheduling) {
    scheduling = newScheduling;
    for (Route route : Route.values()) {
      after(0, () -> arriveLater(route));
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMicros = event.atMicros;
      event.action.run();
    }
  }

  private void arriveLater(Route route) {
    boolean isBurst = nowMicros >= BURST_START_MICROS && nowMicros < BURST_END_MICROS;
    double perMilli = ratePerMilli(route) * (isBurst ? route.burstFactor : 1);
    long gapMicros = (long) (-1_000 * Math.log(1 - random.nextDouble()) / perMilli);
    if (nowMicros + gapMicros > LENGTH_MICROS) {
      return;
    }
    after(
        gapMicros,
        () -> {
          Caller caller = new Caller(route, random.nextInt(instances), nowMicros);
          callers.add(caller);
          scheduling.onArrival(caller);
          arriveLater(route);
        });
  }

  private double ratePerMilli(Route route) {
    double slotMillisPerRequest = 0;
    for (Route each : Route.values()) {
      slotMillisPerRequest += each.share * each.runMillis(1);
    }
    return BASE_LOAD * slotRate() * route.share / slotMillisPerRequest;
  }

  /** Returns the slot time of factor 1 that all slots offer in a millisecond. */
  double slotRate() {
    double rate = 0;
    for (Engine engine : engines) {
      rate += SLOTS / engine.factor;
    }
    return rate;
  }

  /** Starts a run if the endpoint has a free slot. */
  boolean tryStart(Caller caller, Engine engine) {
    if (engine.running >= SLOTS) {
      return false;
    }
    engine.running++;
    long firstMicros = (long) (1_000 * caller.route.firstEventMillis(engine.factor));
    long runMicros = (long) (1_000 * caller.route.runMillis(engine.factor));
    after(
        firstMicros,
        () -> {
          boolean isWaiting =
              nowMicros - caller.arrivalMicros <= 1_000 * caller.route.deadlineMillis;
          caller.firstEventMicros = isWaiting ? nowMicros : -1;
        });
    after(
        runMicros,
        () -> {
          engine.running--;
          scheduling.onEnd(caller, engine);
        });
    return true;
  }

  /** Lets the caller of a refused request retry once. */
  void refuse(Caller caller, long retryAfterMillis) {
    boolean mayRetry =
        !caller.hasRetried && nowMicros + 1_000 * retryAfterMillis < caller.deadlineMicros();
    if (!mayRetry) {
      caller.isRefused = true;
      return;
    }
    caller.hasRetried = true;
    after(1_000 * retryAfterMillis, () -> scheduling.onArrival(caller));
  }

  double value() {
    return callers.stream().mapToDouble(Caller::value).sum();
  }

  /** Returns the share of a route's requests that the predicate of a caller holds for. */
  double share(Route route, java.util.function.Predicate<Caller> predicate) {
    long all = callers.stream().filter(caller -> caller.route == route).count();
    long matching =
        callers.stream().filter(caller -> caller.route == route).filter(predicate).count();
    return (double) matching / all;
  }

  /**
   * Returns a value that no scheduler exceeds: all slots are busy from the first arrival until the
   * last caller has left, and the requests with the most value for their slot time are on time, as
   * far as the slot time goes.
   */
  double bound() {
    double slotMillis = slotRate() * (LENGTH_MICROS / 1_000.0 + Route.QUESTION.patienceMillis());
    List<Caller> byDensity = new ArrayList<>(callers);
    byDensity.sort(
        Comparator.comparingDouble(caller -> -caller.route.value / caller.route.runMillis(1)));
    double value = 0;
    for (Caller caller : byDensity) {
      slotMillis -= caller.route.runMillis(1);
      if (slotMillis < 0) {
        break;
      }
      value += caller.route.value;
    }
    return value;
  }
}
