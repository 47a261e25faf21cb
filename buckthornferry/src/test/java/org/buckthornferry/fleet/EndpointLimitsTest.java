package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.HoldReason;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.fleet.EndpointLimits.Permit;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.QuietFleetLog;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.SuspensionCountingClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Plays instances on virtual time that send one endpoint more requests than it accepts, and counts
 * what arrives there.
 */
@ExtendWith(QuietFleetLog.class)
final class EndpointLimitsTest {
  private static final int[] FLEET_SIZES = {1, 2, 8, 60, 300};
  private static final double[] LIMITS_PER_SECOND = {0.3, 1, 1.2, 5, 40};

  /** The window over which requests at the endpoint are counted. */
  private static final long WINDOW_MILLIS = 4_000;

  /** Requests in a window relative to the limit, and in addition to it, that are permitted. */
  private static final double PERMITTED_FACTOR = 1.5;

  private static final double PERMITTED_EXTRA = 5;

  /** Time after the first naming of a limit from which it binds. */
  private static final long CONTACT_MILLIS = OperatingBounds.DEFAULTS.contactMillis();

  /** Time after an instance was told of a limit from which its requests count. */
  private static final long TOLD_MILLIS = 500;

  /** The share of the limit that must be used in calm times under more demand than that. */
  private static final double MIN_USED_SHARE = 0.8;

  private static final Endpoint ENDPOINT =
      new Endpoint("e1", "model", Addresses.parse("127.0.0.1:1"), "z", "v1", 4, false, 0, 1, 0);

  @Test
  void allInstancesTogetherStayWithinTheLimitAndUseIt() {
    for (int count : FLEET_SIZES) {
      Fleet fleet = new Fleet(count, 0, count);
      for (double limit : LIMITS_PER_SECOND) {
        fleet.demandPerSecond = 3 * limit + 5;
        fleet.notice = RateLimitNotice.UNLIMITED;
        fleet.run(8_000);
        long namedMillis = fleet.name(limit);
        fleet.run(24_000);
        fleet.assertWithin(limit, namedMillis + CONTACT_MILLIS, namedMillis + 24_000);
        fleet.assertUsed(limit, namedMillis + 8_000, namedMillis + 24_000);
      }
    }
  }

  @Test
  void staysWithinTheLimitWheneverTheCoordinatorFails() {
    for (Failure failure : Failure.values()) {
      for (int count : new int[] {2, 8, 60}) {
        for (double limit : LIMITS_PER_SECOND) {
          Fleet fleet = new Fleet(count, 3 * limit + 5, count + 7);
          fleet.run(1_000);
          long namedMillis = fleet.name(limit);
          fleet.run(6_000);
          Instance coordinator = fleet.coordinator();
          failure.begin(fleet, coordinator);
          fleet.run(6_000);
          failure.end(fleet, coordinator);
          fleet.run(20_000);
          String situation = failure + " of " + count;
          fleet.assertWithin(
              situation, limit, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
          fleet.assertUsed(
              situation, limit, fleet.time.nowMillis() - 6_000, fleet.time.nowMillis());
        }
      }
    }
  }

  /** Guards against a limit that nobody may use for seconds after its coordinator has ended. */
  @Test
  void theLimitIsUsedAgainSoonAfterTheCoordinatorWasKilled() {
    Fleet fleet = new Fleet(8, 40, 5);
    fleet.run(1_000);
    fleet.name(10);
    fleet.run(8_000);
    long killedMillis = fleet.time.nowMillis();
    fleet.coordinator().process.kill();
    fleet.run(4_000);
    fleet.assertUsed(0.4 * 10, killedMillis + 500, killedMillis + 2_500);
  }

  @Test
  void staysWithinTheLimitWhileTheStoreIsSilent() {
    for (int count : new int[] {2, 8, 60}) {
      Fleet fleet = new Fleet(count, 40, 11);
      fleet.store.failWith(Kind.UNAVAILABLE);
      fleet.run(15_000);
      long namedMillis = fleet.name(5);
      fleet.run(10_000);
      fleet.coordinator().process.kill();
      fleet.run(10_000);
      fleet.store.failWith(null);
      fleet.run(15_000);
      fleet.assertWithin(5, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
      fleet.assertUsed(5, fleet.time.nowMillis() - 8_000, fleet.time.nowMillis());
    }
  }

  /** Each half of the instances has a coordinator of its own. */
  @Test
  void twoCoordinatorsTogetherStayWithinTheLimit() {
    for (double limit : LIMITS_PER_SECOND) {
      Fleet fleet = new Fleet(8, 6 * limit + 5, 3);
      fleet.run(1_000);
      long namedMillis = fleet.name(limit);
      fleet.run(6_000);
      fleet.isSplit = true;
      fleet.run(15_000);
      fleet.isSplit = false;
      fleet.run(15_000);
      fleet.assertWithin(limit, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
      fleet.assertUsed(limit, fleet.time.nowMillis() - 8_000, fleet.time.nowMillis());
    }
  }

  /** An instance that knows no others must assume that there are some. */
  @Test
  void aNewInstanceThatKnowsNoOthersTakesASmallShare() {
    Fleet fleet = new Fleet(8, 200, 3);
    fleet.run(1_000);
    long namedMillis = fleet.name(10);
    fleet.run(8_000);
    Instance isolated = fleet.instances.get(0);
    isolated.knowsOthers = false;
    isolated.process.cutFromStore(true);
    isolated.limits.refresh();
    fleet.run(10_000);
    fleet.assertWithin(10, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
  }

  @Test
  void instancesThatLearnOfTheLimitAtDifferentTimesStayWithinIt() {
    for (double limit : LIMITS_PER_SECOND) {
      Fleet fleet = new Fleet(8, 3 * limit + 5, 17);
      fleet.lostAnnouncementShare = 0.9;
      for (int i = 1; i < 8; i++) {
        fleet.instances.get(i).startsMillis = fleet.time.nowMillis() + 1_000 + 700L * i;
      }
      fleet.run(1_000);
      long namedMillis = fleet.name(limit);
      fleet.run(20_000);
      fleet.assertWithin(limit, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
    }
  }

  /** Without this, instances that were not told yet would take what the others are refused. */
  @Test
  void allInstancesLearnOfALimitFromOneResponse() {
    for (int count : FLEET_SIZES) {
      Fleet fleet = new Fleet(count, 0, 1);
      fleet.instances.get(count / 2).limits.onNotice(ENDPOINT, RateLimitNotice.limited(3));
      fleet.run(500);
      for (Instance instance : fleet.instances) {
        assertThat(instance.isLimited()).isTrue();
      }
    }
  }

  @Test
  void aLaterInstanceLearnsOfTheLimitFromTheCoordinator() {
    Fleet fleet = new Fleet(4, 0, 1);
    fleet.instances.get(2).limits.onNotice(ENDPOINT, RateLimitNotice.limited(3));
    fleet.run(2_000);
    Instance late = fleet.restart(fleet.instances.indexOf(fleet.nonCoordinator()));
    fleet.run(3_000);
    assertThat(late.isLimited()).isTrue();
  }

  @Test
  void followsALimitThatIsRaisedAndLowered() {
    for (int count : new int[] {1, 8, 60}) {
      Fleet fleet = new Fleet(count, 100, 23);
      fleet.run(1_000);
      double[] limits = {2, 20, 1, 40, 5};
      for (double limit : limits) {
        long namedMillis = fleet.name(limit);
        fleet.run(16_000);
        fleet.assertWithin(
            limit, namedMillis + CONTACT_MILLIS + WINDOW_MILLIS, namedMillis + 16_000);
        fleet.assertUsed(limit, namedMillis + 8_000, namedMillis + 16_000);
      }
    }
  }

  @Test
  void sendsAllRequestsAgainSoonAfterTheLimitWasWithdrawn() {
    for (double limit : new double[] {0, 0.01, 1, 10}) {
      Fleet fleet = new Fleet(8, 50, 29);
      fleet.run(1_000);
      fleet.name(limit);
      fleet.run(10_000);
      fleet.notice = RateLimitNotice.UNLIMITED;
      fleet.run(12_000);
      for (Instance instance : fleet.instances) {
        assertWithMessage("%s after %s", instance.id, limit).that(instance.isLimited()).isFalse();
      }
    }
  }

  @Test
  void aGarbledLimitChangesNothing() {
    Fleet fleet = new Fleet(8, 50, 31);
    fleet.run(1_000);
    long namedMillis = fleet.name(2);
    fleet.run(8_000);
    fleet.notice = RateLimitNotice.UNKNOWN;
    fleet.run(20_000);
    fleet.assertWithin(2, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
    assertThat(fleet.instances.get(3).isLimited()).isTrue();
  }

  @Test
  void aLimitThatIsNotNamedForTenMinutesIsForgotten() {
    Fleet fleet = new Fleet(2, 0, 1);
    fleet.instances.get(0).limits.onNotice(ENDPOINT, RateLimitNotice.limited(3));
    fleet.run(590_000);
    assertThat(fleet.instances.get(1).isLimited()).isTrue();
    fleet.run(15_000);
    for (Instance instance : fleet.instances) {
      assertThat(instance.limits.hasLimits()).isFalse();
    }
  }

  @Test
  void anEndpointThatAcceptsNothingIsProbedWithinTheBound() {
    Fleet fleet = new Fleet(60, 100, 37);
    fleet.run(1_000);
    long namedMillis = fleet.name(0);
    fleet.run(30_000);
    fleet.assertWithin(0, namedMillis + CONTACT_MILLIS, fleet.time.nowMillis());
    assertThat(fleet.arrivals(namedMillis + 10_000, fleet.time.nowMillis())).isAtLeast(2);
  }

  @Test
  void anotherProcessAtTheAddressHasNoLimit() {
    Fleet fleet = new Fleet(2, 0, 1);
    EndpointLimits limits = fleet.instances.get(0).limits;
    limits.onNotice(ENDPOINT, RateLimitNotice.limited(1));
    Endpoint restarted =
        new Endpoint("e1", "model", ENDPOINT.address(), "z", "v1", 4, false, 0, 2, 0);
    Endpoint other = new Endpoint("e9", "desk", ENDPOINT.address(), "z", "v1", 4, false, 0, 1, 0);
    assertThat(limits.isLimited(ENDPOINT.processKey())).isTrue();
    assertThat(limits.isLimited(restarted.processKey())).isFalse();
    assertThat(limits.isLimited(other.processKey())).isFalse();
    limits.onNotice(other, RateLimitNotice.UNLIMITED);
    assertThat(limits.isLimited(ENDPOINT.processKey())).isTrue();
  }

  /** Guards against a process that acts on a permit after it was suspended. */
  @Test
  void aPermitThatArrivesAfterASuspensionIsNotUsed() {
    Fleet fleet = new Fleet(2, 0, 1);
    Instance asker = fleet.nonCoordinator();
    asker.limits.onNotice(ENDPOINT, RateLimitNotice.limited(5));
    fleet.run(4_000);
    CompletableFuture<Permit> permit = asker.limits.take(ENDPOINT, new Priority(0, 0));
    fleet.time.advance(3);
    asker.process.suspend();
    fleet.time.advance(3_000);
    asker.process.resume();
    fleet.time.advance(200);
    assertThat(permit.join().isGranted()).isFalse();
  }

  /** Guards against calling a coordinator without end whose replies cannot be read. */
  @Test
  void aCoordinatorWithMalformedRepliesIsPassedOver() {
    Fleet fleet = new Fleet(2, 0, 1);
    Instance asker = fleet.nonCoordinator();
    fleet.coordinator().addHandler(PeerMessageKind.LIMIT, message -> new byte[] {1, 2, 3});
    asker.limits.onNotice(ENDPOINT, RateLimitNotice.limited(5));
    fleet.run(5_000);
    assertThat(fleet.calls()).isAtMost(20);
    assertThat(fleet.take(asker, 0).isGranted()).isTrue();
  }

  @Test
  void aMalformedCallChangesNothing() {
    Fleet fleet = new Fleet(1, 0, 1);
    EndpointLimits limits = fleet.instances.get(0).limits;
    for (byte[] message : new byte[][] {{}, {1, 2}, {(byte) 0xa3, 'a', 'b', 'c'}}) {
      assertThrows(IOException.class, () -> limits.answer(message));
    }
    assertThat(limits.hasLimits()).isFalse();
  }

  @Test
  void namesTheReasonForWhichARequestIsHeldBack() {
    Fleet fleet = new Fleet(2, 0, 1);
    Instance asker = fleet.nonCoordinator();
    asker.limits.onNotice(ENDPOINT, RateLimitNotice.limited(1));
    fleet.run(100);
    assertThat(fleet.take(asker, 0).reason()).isEqualTo(HoldReason.RATE_USED);
    fleet.coordinator().process.kill();
    assertThat(fleet.take(asker, 0).reason()).isEqualTo(HoldReason.COORDINATOR_LOST);
  }

  @Test
  void metricsShowTheLimitTheOwnShareAndWhatWasHeldBack() {
    Fleet fleet = new Fleet(4, 0, 1);
    Instance asker = fleet.nonCoordinator();
    asker.limits.onNotice(ENDPOINT, RateLimitNotice.limited(2));
    fleet.run(8_000);
    assertThat(fleet.take(asker, 0).isGranted()).isTrue();
    assertThat(fleet.take(asker, 0).isGranted()).isFalse();
    assertThat(asker.gauge("relay.limits.endpoints")).isEqualTo(1);
    assertThat(asker.gauge("relay.limits.named_per_second")).isEqualTo(2.0);
    assertThat(asker.gauge("relay.limits.own_per_second")).isEqualTo(0.5);
    assertThat(asker.registry.counter("relay.limits.permits").getCount()).isEqualTo(1);
    assertThat(asker.registry.counter("relay.limits.held_back.rate_used").getCount()).isEqualTo(1);
  }

  @Test
  void importantRequestsComeFirstOverAllInstances() {
    Fleet fleet = new Fleet(8, 0, 41);
    for (int i = 0; i < 8; i++) {
      fleet.instances.get(i).priority = new Priority(0, i % 2);
    }
    fleet.demandPerSecond = 80;
    fleet.run(1_000);
    long namedMillis = fleet.name(10);
    fleet.run(30_000);
    int[] sent = new int[2];
    for (Arrival arrival : fleet.arrivals) {
      if (arrival.millis > namedMillis + 4_000) {
        sent[arrival.instance.priority.routePriority()]++;
      }
    }
    assertThat(sent[0]).isAtLeast(3 * sent[1]);
    assertThat(sent[1]).isAtLeast((sent[0] + sent[1]) / 10);
  }

  /** Messages of an idle fleet: one per instance and period, whatever the number of instances. */
  @Test
  void anIdleInstanceCallsTheCoordinatorOncePerPeriod() {
    for (int count : new int[] {8, 95, 300}) {
      Fleet fleet = new Fleet(count, 0, 1);
      fleet.instances.get(0).limits.onNotice(ENDPOINT, RateLimitNotice.limited(3));
      fleet.run(5_000);
      int before = fleet.calls();
      fleet.run(10_000);
      assertWithMessage("%s instances", count).that(fleet.calls() - before).isAtMost(11 * count);
    }
  }

  /** Guards against messages from all instances to all while the candidates do not reply. */
  @Test
  void instancesThatReachNoCandidateSendFewMessages() {
    int count = 60;
    Fleet fleet = new Fleet(count, 0, 1);
    List<String> order =
        Rendezvous.order(ENDPOINT.processKey(), fleet.instances.stream().map(i -> i.id).toList());
    for (Instance instance : fleet.instances) {
      instance.limits.onNotice(ENDPOINT, RateLimitNotice.limited(3));
      if (order.indexOf(instance.id) < 3) {
        instance.process.suspend();
      }
    }
    int before = fleet.calls();
    fleet.run(10_000);
    // One call per second and three candidates that are tried again every two seconds.
    assertThat(fleet.calls() - before).isAtMost(count * (10 + 3 * 5));
  }

  private enum Failure {
    KILLED {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.kill();
      }
    },
    RESTARTED {
      @Override
      void begin(Fleet fleet, Instance instance) {
        fleet.restart(fleet.instances.indexOf(instance));
      }
    },
    SUSPENDED {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.suspend();
      }

      @Override
      void end(Fleet fleet, Instance instance) {
        instance.process.resume();
      }
    },
    CUT_FROM_STORE {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.cutFromStore(true);
      }

      @Override
      void end(Fleet fleet, Instance instance) {
        instance.process.cutFromStore(false);
      }
    },
    CUT_FROM_OTHERS {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.cutFromOthers(true);
      }

      @Override
      void end(Fleet fleet, Instance instance) {
        instance.process.cutFromOthers(false);
      }
    },
    CUT_FROM_ALL {
      @Override
      void begin(Fleet fleet, Instance instance) {
        instance.process.cutFromOthers(true);
        instance.process.cutFromStore(true);
      }

      @Override
      void end(Fleet fleet, Instance instance) {
        instance.process.cutFromOthers(false);
        instance.process.cutFromStore(false);
      }
    };

    abstract void begin(Fleet fleet, Instance instance);

    void end(Fleet fleet, Instance instance) {}
  }

  private record Arrival(long millis, Instance instance, boolean isTold) {}

  private record WaitingRequest(long arrivalMillis, Priority priority) {}

  /** Instances and the endpoint. */
  private static final class Fleet {
    private static final long REGISTRATION_MILLIS = 10_000;

    private final ManualScheduler time = new ManualScheduler();
    private final FakeSharedStore store = new FakeSharedStore(time);
    private final VirtualInstances network = new VirtualInstances(time, store);
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private RateLimitNotice notice = RateLimitNotice.UNLIMITED;
    private double demandPerSecond;
    private double lostAnnouncementShare;
    private boolean isSplit;

    private Fleet(int count, double demandPerSecond, long seed) {
      this.random = new SplittableRandom(seed);
      for (int i = 0; i < count; i++) {
        instances.add(new Instance(this, i));
        instances.get(i).start();
      }
      time.advance(REGISTRATION_MILLIS);
      this.demandPerSecond = demandPerSecond;
    }

    private void run(long millis) {
      double perMilli = demandPerSecond / 1_000;
      double endMillis = time.nowMillis() + millis;
      double nextMillis = time.nowMillis();
      while (perMilli > 0) {
        nextMillis += -Math.log(1 - random.nextDouble()) / perMilli;
        if (nextMillis >= endMillis) {
          break;
        }
        time.advance(Math.max(0, (long) nextMillis - time.nowMillis()));
        instances.get(random.nextInt(instances.size())).onRequest();
      }
      time.advance((long) endMillis - time.nowMillis());
    }

    private long name(double limitPerSecond) {
      notice = RateLimitNotice.limited(limitPerSecond);
      return time.nowMillis();
    }

    private Instance restart(int index) {
      Instance old = instances.get(index);
      old.process.kill();
      Instance instance = new Instance(this, index);
      instance.priority = old.priority;
      instances.set(index, instance);
      instance.start();
      return instance;
    }

    private Instance coordinator() {
      String id =
          Rendezvous.first(ENDPOINT.processKey(), instances.stream().map(i -> i.id).toList())
              .orElseThrow();
      return instances.stream().filter(i -> i.id.equals(id)).findFirst().orElseThrow();
    }

    private Instance nonCoordinator() {
      Instance coordinator = coordinator();
      return instances.stream().filter(i -> i != coordinator).findFirst().orElseThrow();
    }

    private Permit take(Instance asker, int routePriority) {
      CompletableFuture<Permit> permit =
          asker.limits.take(ENDPOINT, new Priority(0, routePriority));
      time.advance(200);
      return permit.join();
    }

    private int calls() {
      return instances.stream().mapToInt(i -> i.calls(PeerMessageKind.LIMIT)).sum();
    }

    private long arrivals(long fromMillis, long toMillis) {
      return arrivals.stream()
          .filter(arrival -> arrival.millis >= fromMillis && arrival.millis < toMillis)
          .count();
    }

    private void assertWithin(double limit, long fromMillis, long toMillis) {
      assertWithin("", limit, fromMillis, toMillis);
    }

    private void assertWithin(String situation, double limit, long fromMillis, long toMillis) {
      double permitted = PERMITTED_FACTOR * limit * WINDOW_MILLIS / 1_000 + PERMITTED_EXTRA;
      Deque<Arrival> window = new ArrayDeque<>();
      for (Arrival arrival : arrivals) {
        if (!arrival.isTold) {
          continue;
        }
        window.addLast(arrival);
        while (window.peekFirst().millis <= arrival.millis - WINDOW_MILLIS) {
          window.removeFirst();
        }
        if (arrival.millis >= fromMillis && arrival.millis <= toMillis) {
          assertWithMessage(
                  "%s: %s instances, %s a second, at %s ms",
                  situation, instances.size(), limit, arrival.millis)
              .that((double) window.size())
              .isAtMost(permitted);
        }
      }
    }

    private void assertUsed(double limit, long fromMillis, long toMillis) {
      assertUsed("", limit, fromMillis, toMillis);
    }

    private void assertUsed(String situation, double limit, long fromMillis, long toMillis) {
      assertWithMessage("%s: %s instances, %s a second", situation, instances.size(), limit)
          .that((double) arrivals(fromMillis, toMillis))
          .isAtLeast(Math.floor(MIN_USED_SHARE * limit * (toMillis - fromMillis) / 1_000));
    }

    private void onArrival(Instance sender) {
      long nowMillis = time.nowMillis();
      arrivals.add(new Arrival(nowMillis, sender, nowMillis - sender.toldMillis >= TOLD_MILLIS));
      RateLimitNotice stated = notice;
      sender.process.schedule(() -> sender.onResponse(stated), 20);
    }
  }

  /** An instance whose requests wait for the endpoint like those of a dispatcher. */
  private static final class Instance extends VirtualInstance {
    /** How long a request waits before it goes elsewhere. */
    private static final long MAX_WAIT_MILLIS = 1_500;

    private static final long NEVER_MILLIS = Long.MAX_VALUE / 2;

    private final Fleet fleet;
    private final EndpointLimits limits;
    private final int index;
    private final PriorityQueue<WaitingRequest> waiting =
        new PriorityQueue<>(Comparator.comparing(WaitingRequest::priority));
    private final MetricRegistry registry = new MetricRegistry();
    private Priority priority = new Priority(0, 0);
    private boolean isAsking;
    private boolean knowsOthers = true;
    private long heldUntilMillis;
    private long startsMillis;
    private long toldMillis = NEVER_MILLIS;

    private Instance(Fleet fleet, int index) {
      super(fleet.network, index, "domain-" + index % 3);
      this.fleet = fleet;
      this.index = index;
      MonotonicClock clock = new SuspensionCountingClock(process, process::timeOfDayMillis);
      limits = new EndpointLimits(blackboard, this::call, id, process, clock, registry);
      addHandler(PeerMessageKind.LIMIT, limits::answer);
      blackboard.writerOf(EndpointList.ENTRY).accept(new EndpointList(List.of(ENDPOINT), true));
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

    private Object gauge(String name) {
      return registry.getGauges().get(name).getValue();
    }

    private boolean isLimited() {
      return limits.isLimited(ENDPOINT.processKey());
    }

    private CompletableFuture<byte[]> call(
        InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis) {
      int otherIndex = other.getPort() - 10_000;
      boolean isCut = !knowsOthers || (fleet.isSplit && otherIndex % 2 != index % 2);
      boolean isLost =
          message.length > 0
              && fleet.random.nextDouble() < fleet.lostAnnouncementShare
              && isAnnouncement(message);
      if (isCut || isLost) {
        CompletableFuture<byte[]> failed = new CompletableFuture<>();
        process.schedule(
            () -> failed.completeExceptionally(new TimeoutException("no reply")), timeoutMillis);
        return failed;
      }
      return peers.call(other, kind, message, timeoutMillis);
    }

    private static boolean isAnnouncement(byte[] message) {
      try {
        return LimitMessages.decodeRequest(message).purpose() == LimitMessages.Purpose.ANNOUNCE;
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private void onRequest() {
      if (process.isDead() || process.isSuspended() || fleet.time.nowMillis() < startsMillis) {
        return;
      }
      if (!isLimited()) {
        send();
        return;
      }
      waiting.add(new WaitingRequest(fleet.time.nowMillis(), priority));
      dispatch();
    }

    private void dispatch() {
      long nowMillis = fleet.time.nowMillis();
      waiting.removeIf(request -> nowMillis - request.arrivalMillis > MAX_WAIT_MILLIS);
      if (waiting.isEmpty() || isAsking || nowMillis < heldUntilMillis) {
        return;
      }
      isAsking = true;
      limits
          .take(ENDPOINT, waiting.peek().priority)
          .whenComplete((permit, failure) -> onPermit(permit));
    }

    private void onPermit(Permit permit) {
      isAsking = false;
      if (permit.isGranted()) {
        if (waiting.poll() != null) {
          send();
        }
        process.schedule(this::dispatch, 0);
        return;
      }
      heldUntilMillis = fleet.time.nowMillis() + permit.waitMillis();
      process.schedule(this::dispatch, permit.waitMillis());
    }

    private void send() {
      fleet.time.schedule(() -> fleet.onArrival(this), 1);
    }

    private void onResponse(RateLimitNotice stated) {
      switch (stated.kind()) {
        case LIMITED -> toldMillis = Math.min(toldMillis, fleet.time.nowMillis());
        case UNLIMITED -> toldMillis = NEVER_MILLIS;
        case UNKNOWN -> {}
        default -> throw new IllegalStateException("unknown kind " + stated.kind());
      }
      limits.onNotice(ENDPOINT, stated);
    }
  }
}
