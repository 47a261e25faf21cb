package org.buckthornferry.fleetqueue;

import static com.google.common.truth.Truth.assertWithMessage;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.concurrency.CapacityModel;
import org.buckthornferry.concurrency.LimitPolicy;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Dispatcher;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.fleetqueue.CallerLoad.Caller;
import org.buckthornferry.fleetqueue.CallerLoad.Engine;
import org.buckthornferry.fleetqueue.CallerLoad.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays a burst against fleets of 10, 100 and 300 instances, and compares what callers get with a
 * bound and, for the small fleet, with a queue at each instance; that one polls full endpoints, so
 * that larger plays take minutes.
 */
final class FleetQueueLoadTest {
  @ParameterizedTest
  @CsvSource({"10, 16", "100, 150", "300, 450"})
  void servesTheMostValuableRouteFirstOnAllInstances(int instances, int endpoints) {
    CallerLoad fleet = play(instances, endpoints);
    String figures = instances + " instances: " + describe(fleet);
    // While a lesser route is served on time, none of the most valuable one may be refused.
    assertWithMessage(figures)
        .that(fleet.share(Route.SUMMARY, caller -> caller.isRefused))
        .isEqualTo(0.0);
    assertWithMessage(figures)
        .that(fleet.share(Route.SUMMARY, Caller::isOnTime))
        .isAtLeast(fleet.share(Route.QUESTION, Caller::isOnTime));
    // The guaranteed share of a route.
    assertWithMessage(figures).that(fleet.share(Route.QUESTION, Caller::isServed)).isAtLeast(0.2);
    // What the design asks of total goodput.
    assertWithMessage(figures).that(fleet.value() / fleet.bound()).isAtLeast(0.95);
  }

  @Test
  void servesCallersBetterThanAQueueAtEachInstance() {
    CallerLoad fleet = play(10, 16);
    CallerLoad local = new CallerLoad(10, 16, 1);
    local.play(new QueuePerInstance(local, 10));
    String figures = "common queue: " + describe(fleet) + "; per instance: " + describe(local);
    assertWithMessage(figures).that(fleet.value()).isAtLeast(local.value());
    assertWithMessage(figures)
        .that(fleet.share(Route.BRIEF, Caller::isOnTime))
        .isAtLeast(local.share(Route.BRIEF, Caller::isOnTime));
  }

  private static CallerLoad play(int instances, int endpoints) {
    CallerLoad load = new CallerLoad(instances, endpoints, 1);
    load.play(new CommonQueue(load));
    return load;
  }

  private static String describe(CallerLoad load) {
    StringBuilder text = new StringBuilder();
    text.append(String.format("value %.3f of the bound", load.value() / load.bound()));
    for (Route route : Route.values()) {
      text.append(
          String.format(
              ", %s on time %.3f served %.3f",
              route, load.share(route, Caller::isOnTime), load.share(route, Caller::isServed)));
    }
    return text.toString();
  }

  private static Endpoint endpoint(Engine engine) {
    return new Endpoint(
        engine.id,
        "s",
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        "z",
        "v",
        CallerLoad.SLOTS,
        false,
        0,
        0,
        0);
  }

  private static long expectedTokens(Route route) {
    return 4L * route.events;
  }

  /** One queue; messages between instances and the coordinator take a millisecond. */
  private static final class CommonQueue implements CallerLoad.Scheduling {
    private final CallerLoad load;
    private final FleetQueue queue =
        new FleetQueue(
            new CapacityModel(LimitPolicy.LEARNED), VersionPolicy.ANY, new SplittableRandom(1));
    private final Map<Long, Caller> waiting = new HashMap<>();
    private final Map<Caller, Long> numbers = new HashMap<>();
    private long lastNumber;
    private long wakeUpNanos = FleetQueue.NEVER;

    private CommonQueue(CallerLoad load) {
      this.load = load;
      List<Endpoint> endpoints = new ArrayList<>();
      load.engines.forEach(engine -> endpoints.add(endpoint(engine)));
      queue.setEndpoints(endpoints, 0);
    }

    @Override
    public void onArrival(Caller caller) {
      lastNumber++;
      long number = lastNumber;
      numbers.put(caller, number);
      waiting.put(number, caller);
      load.after(CallerLoad.MESSAGE_MICROS, () -> submit(number));
    }

    private void submit(long number) {
      Caller caller = waiting.get(number);
      Route route = caller.route;
      long waitedMillis = millis(load.nowNanos() - 1_000 * caller.arrivalMicros);
      queue.submit(
          "i" + caller.instance,
          "z",
          new Ticket(
              number,
              route.name(),
              new Priority(0, route.priority),
              false,
              new RequestSize(route.promptTokens, route.promptTokens, expectedTokens(route)),
              PromptPrefix.NONE,
              route.goalMillis - waitedMillis,
              route.patienceMillis() - (caller.hasRetried ? 0 : waitedMillis),
              route.deadlineMillis - waitedMillis,
              200,
              waitedMillis,
              false,
              false,
              caller.hasRetried,
              Set.of()),
          load.nowNanos());
      decide();
    }

    private void decide() {
      queue.decide(load.nowNanos()).values().stream()
          .flatMap(List::stream)
          .forEach(decision -> load.after(CallerLoad.MESSAGE_MICROS, () -> carryOut(decision)));
      long nextNanos = queue.nextDueNanos(load.nowNanos());
      if (nextNanos < wakeUpNanos) {
        wakeUpNanos = nextNanos;
        load.after(
            Math.max(1, (nextNanos - load.nowNanos()) / 1_000),
            () -> {
              if (wakeUpNanos == nextNanos) {
                wakeUpNanos = FleetQueue.NEVER;
                decide();
              }
            });
      }
    }

    private void carryOut(Decision decision) {
      Caller caller = waiting.get(decision.ticketNumber());
      if (!decision.isGranted()) {
        waiting.remove(decision.ticketNumber());
        load.refuse(caller, decision.retryAfterMillis());
        return;
      }
      if (!load.tryStart(caller, load.engine(decision.endpointId()))) {
        report(caller, decision.endpointId(), AttemptOutcome.FULL, Optional.empty());
        submit(decision.ticketNumber());
      }
    }

    @Override
    public void onEnd(Caller caller, Engine engine) {
      Route route = caller.route;
      double firstMillis = route.firstEventMillis(engine.factor);
      double streamMillis = route.runMillis(engine.factor) - firstMillis;
      EndedRun.Timing timing =
          new EndedRun.Timing(
              firstMillis, route.events, streamMillis, streamMillis / (route.events - 1));
      load.after(
          CallerLoad.MESSAGE_MICROS,
          () -> {
            report(caller, engine.id, AttemptOutcome.COMPLETED, Optional.of(timing));
            decide();
          });
    }

    private void report(
        Caller caller,
        String endpointId,
        AttemptOutcome outcome,
        Optional<EndedRun.Timing> timing) {
      queue.onEnded(
          "i" + caller.instance,
          new EndedRun(endpointId, numbers.get(caller), outcome, timing),
          load.nowNanos());
    }
  }

  /** A queue at each instance, which finds free slots by trial. */
  private static final class QueuePerInstance implements CallerLoad.Scheduling {
    private final CallerLoad load;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private final Map<Integer, Long> wakeUps = new TreeMap<>();
    private final Map<Caller, Placement> placements = new HashMap<>();

    private QueuePerInstance(CallerLoad load, int instances) {
      this.load = load;
      Service service = new Service("s", 1_000, 0, 0, Optional.of(new Service.Reservations(1_000)));
      List<Endpoint> endpoints = new ArrayList<>();
      load.engines.forEach(engine -> endpoints.add(endpoint(engine)));
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        ids.add("i" + i);
      }
      for (int i = 0; i < instances; i++) {
        Dispatcher dispatcher = new Dispatcher(service, "i" + i, "z", new SplittableRandom(i));
        dispatcher.setInstances(ids);
        dispatcher.setEndpoints(endpoints);
        dispatchers.add(dispatcher);
      }
    }

    @Override
    public void onArrival(Caller caller) {
      Route route = caller.route;
      WaitingRequest request =
          new WaitingRequest(
              "r",
              route.name(),
              new Priority(0, route.priority),
              new RequestSize(route.promptTokens, route.promptTokens, expectedTokens(route)),
              PromptPrefix.NONE,
              load.nowNanos(),
              1_000 * caller.goalMicros(),
              1_000 * caller.deadlineMicros(),
              caller.hasRetried,
              new WaitingRequest.Listener() {
                @Override
                public void onPlaced(Placement placement) {
                  load.after(2 * CallerLoad.MESSAGE_MICROS, () -> start(caller, placement));
                }

                @Override
                public void onRefused(ErrorKind reason, String detail, long retryAfterMillis) {
                  load.refuse(caller, retryAfterMillis);
                }
              });
      dispatchers.get(caller.instance).submit(request, load.nowNanos());
      dispatch(caller.instance);
    }

    private void start(Caller caller, Placement placement) {
      Dispatcher dispatcher = dispatchers.get(caller.instance);
      if (load.tryStart(caller, load.engine(placement.endpoint().id()))) {
        placements.put(caller, placement);
        dispatcher.onSent(placement, load.nowNanos());
      } else {
        dispatcher.onAttemptEnded(placement, true, AttemptOutcome.FULL, load.nowNanos());
        dispatcher.submit(placement.request(), load.nowNanos());
      }
      dispatch(caller.instance);
    }

    @Override
    public void onEnd(Caller caller, Engine engine) {
      Dispatcher dispatcher = dispatchers.get(caller.instance);
      Placement placement = placements.get(caller);
      Route route = caller.route;
      double firstMillis = route.firstEventMillis(engine.factor);
      dispatcher.onFirstEvent(placement, firstMillis);
      dispatcher.onStreamEnd(placement, route.events, route.runMillis(engine.factor) - firstMillis);
      dispatcher.onAttemptEnded(placement, false, AttemptOutcome.COMPLETED, load.nowNanos());
      dispatch(caller.instance);
    }

    private void dispatch(int instance) {
      long nextNanos = dispatchers.get(instance).dispatch(load.nowNanos());
      long plannedNanos = wakeUps.getOrDefault(instance, Dispatcher.NEVER);
      if (nextNanos < plannedNanos) {
        wakeUps.put(instance, nextNanos);
        load.after(
            Math.max(1, (nextNanos - load.nowNanos()) / 1_000),
            () -> {
              if (wakeUps.remove(instance, nextNanos)) {
                dispatch(instance);
              }
            });
      }
    }
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
