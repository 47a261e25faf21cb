package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.QuietFleetLog;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.SuspensionCountingClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Plays instances on virtual time that want more of some endpoints than these have room for, while
 * the endpoints fail when they reject too many requests in a second.
 */
@ExtendWith(QuietFleetLog.class)
final class BrittleEndpointsTest {
  private static final int CAPACITY = 4;

  /** Time after the first statement from which an endpoint may fail. */
  private static final long CONTACT_MILLIS = OperatingBounds.DEFAULTS.contactMillis();

  /** The share of the slots' time that must be used in calm times under more demand than that. */
  private static final double MIN_USED_SHARE = 0.7;

  private static final long RUN_MILLIS = 400;

  @Test
  void noEndpointRejectsTooManyRequestsAndAllStayUsedOnFleetsOfAnySize() {
    for (int count : new int[] {1, 2, 8, 60, 300}) {
      for (int maxRejections : new int[] {1, 3, 10}) {
        Fleet fleet = new Fleet(40, count, maxRejections == 3 ? 12 : 3, maxRejections);
        fleet.run(CONTACT_MILLIS);
        fleet.isCounting = true;
        fleet.run(12_000);
        fleet.assertSound("calm");
        fleet.assertUsed(12_000);
      }
    }
  }

  @Test
  void noEndpointRejectsTooManyRequestsWhenACoordinatorFails() {
    for (Failure failure : Failure.values()) {
      for (int seed = 1; seed <= 6; seed++) {
        Fleet fleet = new Fleet(seed, seed == 1 ? 2 : seed == 2 ? 60 : 8, 6, 3);
        fleet.run(CONTACT_MILLIS);
        fleet.isCounting = true;
        for (int i = 0; i < 3; i++) {
          fleet.run(1_500);
          Instance any = fleet.instances.get(fleet.random.nextInt(fleet.instances.size()));
          failure.begin(fleet, any);
          fleet.run(3_000);
          failure.end(any);
        }
        fleet.run(5_000);
        fleet.assertSound(failure + ", seed " + seed);
      }
    }
  }

  private enum Failure {
    KILLED {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.kill();
        fleet.start();
      }
    },
    SUSPENDED {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.suspend();
      }

      @Override
      void end(Instance instance) {
        instance.process.resume();
      }
    },
    CUT_FROM_OTHERS {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.cutFromOthers(true);
      }

      @Override
      void end(Instance instance) {
        instance.process.cutFromOthers(false);
      }
    },
    CUT_FROM_STORE {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.cutFromStore(true);
      }

      @Override
      void end(Instance instance) {
        instance.process.cutFromStore(false);
      }
    };

    abstract void begin(Fleet fleet, Instance instance);

    void end(Instance instance) {}
  }

  /** An endpoint with some slots and no queue. */
  private static final class BrittleEndpoint {
    private final Endpoint endpoint;
    private final Deque<Long> rejectedMillis = new ArrayDeque<>();
    private int running;
    private int mostRejected;
    private long usedMillis;

    private BrittleEndpoint(int index) {
      endpoint =
          new Endpoint(
              "e" + index,
              "model",
              Addresses.parse("127.0.0.1:" + (1 + index)),
              "z",
              "v1",
              CAPACITY,
              false,
              0,
              1,
              0);
    }

    private boolean accept(long nowMillis, boolean isCounting) {
      if (running < CAPACITY) {
        running++;
        usedMillis += isCounting ? RUN_MILLIS : 0;
        return true;
      }
      rejectedMillis.addLast(nowMillis);
      while (nowMillis - rejectedMillis.peekFirst() >= 1_000) {
        rejectedMillis.removeFirst();
      }
      mostRejected = isCounting ? Math.max(mostRejected, rejectedMillis.size()) : 0;
      return false;
    }
  }

  private static final class Fleet {
    private final ManualScheduler time = new ManualScheduler();
    private final FakeSharedStore store = new FakeSharedStore(time);
    private final VirtualInstances network = new VirtualInstances(time, store);
    private final SplittableRandom random;
    private final List<BrittleEndpoint> endpoints = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final int maxRejections;
    private boolean isCounting;

    private Fleet(int seed, int count, int endpointCount, int maxRejections) {
      this.random = new SplittableRandom(seed);
      this.maxRejections = maxRejections;
      for (int i = 0; i < endpointCount; i++) {
        endpoints.add(new BrittleEndpoint(i));
      }
      for (int i = 0; i < count; i++) {
        start();
      }
      time.advance(10_000);
    }

    private void start() {
      Instance instance = new Instance(this, instances.size());
      instances.add(instance);
      instance.start();
    }

    /** Lets all instances together want a third more than the endpoints have room for. */
    private void run(long millis) {
      double perMilli = 1.3 * endpoints.size() * CAPACITY / RUN_MILLIS;
      double due = 0;
      for (long i = 0; i < millis; i++) {
        for (due += perMilli; due >= 1; due--) {
          instances.get(random.nextInt(instances.size())).onRequest();
        }
        time.advance(1);
      }
    }

    private void assertSound(String situation) {
      for (BrittleEndpoint endpoint : endpoints) {
        assertWithMessage(
                "%s: %s instances, %s of %s endpoints",
                situation, instances.size(), endpoint.endpoint.id(), endpoints.size())
            .that(endpoint.mostRejected)
            .isAtMost(maxRejections);
      }
    }

    private void assertUsed(long millis) {
      long usedMillis = endpoints.stream().mapToLong(endpoint -> endpoint.usedMillis).sum();
      assertWithMessage(
              "%s instances, %s endpoints, %s rejections",
              instances.size(), endpoints.size(), maxRejections)
          .that(usedMillis)
          .isAtLeast((long) (MIN_USED_SHARE * endpoints.size() * CAPACITY * millis));
    }
  }

  /** An instance whose requests wait for a slot like those of a dispatcher. */
  private static final class Instance extends VirtualInstance {
    private static final long MAX_WAIT_MILLIS = 1_500;

    private final Fleet fleet;
    private final EndpointLimits limits;
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Long> heldUntilMillis = new HashMap<>();
    private final Deque<Long> waitingSinceMillis = new ArrayDeque<>();

    private Instance(Fleet fleet, int index) {
      super(fleet.network, index, "domain-" + index % 3);
      this.fleet = fleet;
      MonotonicClock clock = new SuspensionCountingClock(process, process::timeOfDayMillis);
      limits = new EndpointLimits(blackboard, peers, id, process, clock, new MetricRegistry());
      limits.countRunningWith(endpoint -> running.getOrDefault(endpoint.id(), 0));
      addHandler(PeerMessageKind.LIMIT, limits::answer);
      blackboard
          .writerOf(EndpointList.ENTRY)
          .accept(
              new EndpointList(
                  fleet.endpoints.stream().map(known -> known.endpoint).toList(), true));
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

    private void onRequest() {
      if (!process.isDead() && !process.isSuspended()) {
        waitingSinceMillis.addLast(fleet.time.nowMillis());
        dispatch();
      }
    }

    private void dispatch() {
      long nowMillis = fleet.time.nowMillis();
      while (!waitingSinceMillis.isEmpty()
          && nowMillis - waitingSinceMillis.peekFirst() > MAX_WAIT_MILLIS) {
        waitingSinceMillis.removeFirst();
      }
      List<BrittleEndpoint> due = new ArrayList<>();
      for (BrittleEndpoint endpoint : fleet.endpoints) {
        if (heldUntilMillis.getOrDefault(endpoint.endpoint.id(), 0L) <= nowMillis) {
          due.add(endpoint);
        }
      }
      if (!waitingSinceMillis.isEmpty() && !due.isEmpty()) {
        waitingSinceMillis.removeFirst();
        ask(due.get(fleet.random.nextInt(due.size())));
      }
    }

    private void ask(BrittleEndpoint endpoint) {
      String endpointId = endpoint.endpoint.id();
      running.merge(endpointId, 1, Integer::sum);
      heldUntilMillis.put(endpointId, Long.MAX_VALUE);
      limits
          .take(endpoint.endpoint, new Priority(0, 0))
          .whenComplete(
              (permit, failure) -> {
                long waitMillis = permit.isGranted() ? 0 : permit.waitMillis();
                heldUntilMillis.put(endpointId, fleet.time.nowMillis() + waitMillis);
                process.schedule(this::dispatch, waitMillis + 1);
                if (permit.isGranted()) {
                  send(endpoint);
                } else {
                  running.merge(endpointId, -1, Integer::sum);
                  waitingSinceMillis.addFirst(fleet.time.nowMillis());
                }
              });
    }

    private void send(BrittleEndpoint endpoint) {
      fleet.time.schedule(
          () -> {
            boolean isAccepted = endpoint.accept(fleet.time.nowMillis(), fleet.isCounting);
            fleet.time.schedule(
                () -> {
                  endpoint.running -= isAccepted ? 1 : 0;
                  process.schedule(() -> onResponse(endpoint, isAccepted), 1);
                },
                isAccepted ? RUN_MILLIS : 0);
          },
          1);
    }

    private void onResponse(BrittleEndpoint endpoint, boolean wasAccepted) {
      limits.onEnded(endpoint.endpoint, !wasAccepted);
      running.merge(endpoint.endpoint.id(), -1, Integer::sum);
      limits.onNotice(endpoint.endpoint, RateLimitNotice.brittle(fleet.maxRejections));
      dispatch();
    }
  }
}
