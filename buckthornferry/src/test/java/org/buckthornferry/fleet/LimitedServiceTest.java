package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Dispatcher;
import org.buckthornferry.dispatch.ForwardingPeers;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.fleet.EndpointLimits.Permit;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.QuietFleetLog;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Scheduler;
import org.buckthornferry.util.SuspensionCountingClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Plays the dispatchers of all instances on virtual time while endpoints limit the rate of
 * requests, and checks what callers get.
 */
@ExtendWith(QuietFleetLog.class)
final class LimitedServiceTest {
  private static final int ENDPOINTS = 12;
  private static final int PRIORITIES = 3;
  private static final long RUN_MILLIS = 300;
  private static final long GOAL_MILLIS = 1_000;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final long LEARNING_MILLIS = 8_000;
  private static final long MEASURED_MILLIS = 30_000;

  /** The share of what the endpoints accept that must be served under more demand than that. */
  private static final double MIN_USED_SHARE = 0.8;

  private final ManualScheduler time = new ManualScheduler();
  private final VirtualInstances network = new VirtualInstances(time, new FakeSharedStore(time));
  private final List<Instance> instances = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private final Map<String, Double> limitsPerSecond = new HashMap<>();
  private final int[] asked = new int[PRIORITIES];
  private final int[] served = new int[PRIORITIES];
  private final int[] inTime = new int[PRIORITIES];
  private final List<Long> refusedAfterMillis = new ArrayList<>();
  private final Map<String, Integer> sent = new HashMap<>();
  private boolean isMeasuring;

  /** All endpoints together accept two thirds of the demand, twice that of the highest priority. */
  @Test
  void importantRequestsAreServedFirstAndTheOthersRefusedEarly() {
    for (int count : new int[] {1, 8, 60}) {
      for (double limit : new double[] {1, 4}) {
        LimitedServiceTest test = new LimitedServiceTest();
        for (int i = 0; i < ENDPOINTS; i++) {
          test.limitsPerSecond.put("e" + i, limit);
        }
        test.play(count, 1.5 * limit * ENDPOINTS);
        double accepted = limit * ENDPOINTS * MEASURED_MILLIS / 1_000;
        String situation = count + " instances, " + limit + " a second";
        assertWithMessage(situation)
            .that((double) test.total(test.served))
            .isAtLeast(MIN_USED_SHARE * accepted);
        assertWithMessage(situation).that(test.servedShare(0)).isAtLeast(0.9);
        assertWithMessage(situation).that(test.servedShare(1)).isAtLeast(test.servedShare(2));
        // A refused caller has most of its time left to come back.
        assertWithMessage(situation)
            .that(test.meanRefusedAfterMillis())
            .isAtMost(GOAL_MILLIS / 2.0);
      }
    }
  }

  /** A quarter of the endpoints accepts little; the others have room for everything. */
  @Test
  void whatLimitedEndpointsDoNotAcceptIsServedInTimeElsewhere() {
    for (int count : new int[] {1, 8, 60}) {
      LimitedServiceTest test = new LimitedServiceTest();
      for (int i = 0; i < ENDPOINTS / 4; i++) {
        test.limitsPerSecond.put("e" + i, 1.0);
      }
      test.play(count, 40);
      assertWithMessage("%s instances", count)
          .that((double) test.total(test.inTime))
          .isAtLeast(0.99 * test.total(test.asked));
      for (int i = 0; i < ENDPOINTS / 4; i++) {
        assertThat(test.sent.get("e" + i)).isAtMost((int) (1.1 * MEASURED_MILLIS / 1_000));
        assertThat(test.sent.get("e" + i)).isAtLeast((int) (0.5 * MEASURED_MILLIS / 1_000));
      }
    }
  }

  private void play(int count, double demandPerSecond) {
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i));
      instances.get(i).start();
    }
    time.advance(10_000);
    instances.forEach(Instance::join);
    run(LEARNING_MILLIS, demandPerSecond);
    isMeasuring = true;
    run(MEASURED_MILLIS, demandPerSecond);
    isMeasuring = false;
    time.advance(DEADLINE_MILLIS);
  }

  private void run(long millis, double demandPerSecond) {
    double endMillis = time.nowMillis() + millis;
    double nextMillis = time.nowMillis();
    while (true) {
      nextMillis += -Math.log(1 - random.nextDouble()) * 1_000 / demandPerSecond;
      if (nextMillis >= endMillis) {
        break;
      }
      time.advance(Math.max(0, (long) nextMillis - time.nowMillis()));
      instances.get(random.nextInt(instances.size())).onRequest(random.nextInt(PRIORITIES));
    }
    time.advance((long) endMillis - time.nowMillis());
  }

  private int total(int[] counts) {
    int total = 0;
    for (int count : counts) {
      total += count;
    }
    return total;
  }

  private double servedShare(int priority) {
    return served[priority] / (double) asked[priority];
  }

  private double meanRefusedAfterMillis() {
    return refusedAfterMillis.stream().mapToLong(millis -> millis).average().orElse(0);
  }

  private final class Instance extends VirtualInstance {
    private final EndpointLimits limits;
    private final Dispatcher dispatcher;
    private boolean isDispatching;
    private Scheduler.Task wakeUpTask = Scheduler.Task.NONE;

    private Instance(int index) {
      super(network, index, "domain-" + index % 3);
      limits =
          new EndpointLimits(
              blackboard,
              peers,
              id,
              process,
              new SuspensionCountingClock(process, process::timeOfDayMillis),
              new MetricRegistry());
      addHandler(PeerMessageKind.LIMIT, limits::answer);
      dispatcher =
          new Dispatcher(
              new Service("model", 1_000, 0, 0, Optional.empty()),
              id,
              "domain-" + index % 3,
              new SplittableRandom(index),
              VersionPolicy.ANY,
              limits,
              new ForwardingPeers("domain-" + index % 3, new SplittableRandom(index)));
    }

    @Override
    void start() {
      super.start();
      limits.start();
    }

    @Override
    void onChanged() {
      if (limits != null) {
        limits.refresh();
      }
    }

    private void join() {
      List<Endpoint> endpoints = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        endpoints.add(
            new Endpoint(
                "e" + i,
                "model",
                Addresses.parse("127.0.0.1:" + (1 + i)),
                "domain-" + i % 3,
                "v1",
                4,
                false,
                0,
                1,
                process.nanoTime()));
      }
      blackboard.writerOf(EndpointList.ENTRY).accept(new EndpointList(endpoints, true));
      dispatcher.setEndpoints(endpoints);
      dispatcher.setInstances(blackboard.read(FleetView.ENTRY).instanceIds());
    }

    private void onRequest(int priority) {
      new Request(priority).submit();
    }

    private void dispatch() {
      if (isDispatching) {
        return;
      }
      isDispatching = true;
      long nextNanos = dispatcher.dispatch(process.nanoTime());
      isDispatching = false;
      wakeUpTask.cancel();
      if (nextNanos != Dispatcher.NEVER) {
        long delayMillis = TimeUnit.NANOSECONDS.toMillis(nextNanos - process.nanoTime());
        wakeUpTask = process.schedule(this::dispatch, Math.max(1, delayMillis + 1));
      }
    }

    private final class Request implements WaitingRequest.Listener {
      private final long startMillis = time.nowMillis();
      private final int priority;
      private final boolean isMeasured = isMeasuring;
      private final WaitingRequest waiting;

      private Request(int priority) {
        this.priority = priority;
        asked[priority] += isMeasured ? 1 : 0;
        long nowNanos = process.nanoTime();
        waiting =
            new WaitingRequest(
                "r",
                "route" + priority,
                new Priority(0, priority),
                new RequestSize(1_000, 1_100, 0),
                PromptPrefix.NONE,
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(GOAL_MILLIS),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS),
                /* isCallerRetry= */ false,
                this);
      }

      private void submit() {
        dispatcher.submit(waiting, process.nanoTime());
        dispatch();
      }

      @Override
      public void onPlaced(Placement placement) {
        if (placement.needsPermit()) {
          limits
              .take(placement.endpoint(), waiting.priority())
              .whenComplete(
                  (permit, failure) -> process.schedule(() -> onPermit(placement, permit), 0));
        } else {
          send(placement);
        }
      }

      private void onPermit(Placement placement, Permit permit) {
        if (permit.isGranted()) {
          send(placement);
        } else {
          dispatcher.onHeldBack(placement, permit.waitMillis(), process.nanoTime());
          dispatcher.onAttemptEnded(placement, true, AttemptOutcome.HELD_BACK, process.nanoTime());
          submit();
        }
        dispatch();
      }

      private void send(Placement placement) {
        dispatcher.onSent(placement, process.nanoTime());
        String endpointId = placement.endpoint().id();
        if (isMeasuring) {
          sent.merge(endpointId, 1, Integer::sum);
        }
        process.schedule(() -> onAnswer(placement), RUN_MILLIS);
      }

      private void onAnswer(Placement placement) {
        Double limit = limitsPerSecond.get(placement.endpoint().id());
        limits.onNotice(
            placement.endpoint(),
            limit == null ? RateLimitNotice.UNLIMITED : RateLimitNotice.limited(limit));
        dispatcher.onFirstEvent(placement, RUN_MILLIS);
        dispatcher.onAttemptEnded(placement, false, AttemptOutcome.COMPLETED, process.nanoTime());
        served[priority] += isMeasured ? 1 : 0;
        boolean isInTime = time.nowMillis() - startMillis <= GOAL_MILLIS + RUN_MILLIS;
        inTime[priority] += isMeasured && isInTime ? 1 : 0;
        dispatch();
      }

      @Override
      public void onRefused(ErrorKind reason, String detail, long retryAfterMillis) {
        if (isMeasured) {
          refusedAfterMillis.add(time.nowMillis() - startMillis);
        }
      }
    }
  }
}
