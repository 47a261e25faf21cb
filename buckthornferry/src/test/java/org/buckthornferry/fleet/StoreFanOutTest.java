package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Test;

/**
 * Tests simulated instances of one failure domain that share a reader of the store, on virtual
 * time. Guards against late, lost or reordered changes when the reader fails, and against store
 * load that grows with the instances.
 */
final class StoreFanOutTest {
  /** Shortest time in which a confirmed change must be in force, in milliseconds. */
  private static final long BOUND_MILLIS = OperatingBounds.DEFAULTS.drainMillis();

  private static final String KEY = "op/config";
  private static final String DOMAIN = "domain-a";

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final VirtualInstances network = new VirtualInstances(time, store);
  private final List<Instance> instances = new ArrayList<>();

  @Test
  void propagatesAChangeToAllInstancesWithinMilliseconds() {
    startAll(20);
    store.put(KEY, "2");
    time.advance(50);
    assertAllHave("2");
    store.remove(KEY);
    time.advance(250);
    assertAllHave("");
  }

  @Test
  void storeCallsOtherThanRenewalsDoNotGrowWithTheInstances() {
    startAll(10);
    int few = callsInASteadyMinute();
    startAll(50);
    int many = callsInASteadyMinute();
    // Each instance renews its lease every 2 s plus 40 ms per known instance.
    double renewalsOfFew = 10 * 60 / (2 + 0.04 * 10);
    double renewalsOfMany = 60 * 60 / (2 + 0.04 * 60);
    assertThat(many - 1.15 * renewalsOfMany).isAtMost(1.3 * (few - 0.9 * renewalsOfFew));
  }

  /**
   * The first leases are granted before the size of the fleet, and so the next renewal, is known.
   */
  @Test
  void registrationsStayWhileTheFleetGrows() {
    for (int count : new int[] {60, 95, 160, 300}) {
      StoreFanOutTest test = new StoreFanOutTest();
      test.store.put(KEY, "1");
      for (int i = 0; i < count; i++) {
        test.instances.add(test.new Instance(i));
        test.time.advance(i % 3 == 0 ? 1 : 0);
      }
      test.time.advance(4_000);
      for (int i = 0; i < 60; i++) {
        test.time.advance(1_000);
        for (Instance instance : test.instances) {
          assertWithMessage(instance.id)
              .that(test.store.value(InstanceRegistry.PREFIX + instance.id))
              .isNotEmpty();
        }
      }
    }
  }

  @Test
  void instancesOfASmallFailureDomainReadTheStoreThemselves() {
    startAll(3);
    for (Instance instance : instances) {
      assertThat(instance.calls(PeerMessageKind.CHANGES)).isEqualTo(0);
    }
    store.put(KEY, "2");
    time.advance(50);
    assertAllHave("2");
  }

  @Test
  void propagatesAChangeInTimeWhenTheReaderDies() {
    for (long delayMillis = 0; delayMillis <= 600; delayMillis += 25) {
      FailureScenario scenario = new FailureScenario(delayMillis);
      scenario.reader().process.kill();
      scenario.assertChangePropagatesInTime();
    }
  }

  @Test
  void propagatesAChangeInTimeWhenTheReaderIsSuspended() {
    for (long delayMillis = 0; delayMillis <= 600; delayMillis += 25) {
      FailureScenario scenario = new FailureScenario(delayMillis);
      Instance reader = scenario.reader();
      reader.process.suspend();
      scenario.assertChangePropagatesInTime();
      reader.process.resume();
      scenario.test.time.advance(1_000);
      scenario.test.assertAllHave("2");
    }
  }

  @Test
  void propagatesAChangeInTimeWhenTheReaderLosesTheStore() {
    for (long delayMillis = 0; delayMillis <= 600; delayMillis += 25) {
      FailureScenario scenario = new FailureScenario(delayMillis);
      scenario.reader().process.cutFromStore(true);
      scenario.assertChangePropagatesInTime();
    }
  }

  @Test
  void propagatesAChangeInTimeWhenTheReaderLosesItsPeers() {
    for (long delayMillis = 0; delayMillis <= 600; delayMillis += 25) {
      FailureScenario scenario = new FailureScenario(delayMillis);
      scenario.reader().process.cutFromOthers(true);
      scenario.assertChangePropagatesInTime();
    }
  }

  /**
   * Guards against a stale copy that looks current because the steady clock stops during a
   * suspension.
   */
  @Test
  void aResumedReaderReportsItsCopyAsStale() {
    startAll(12);
    Instance reader = readerOf(this);
    reader.process.suspend();
    store.put(KEY, "2");
    time.advance(5_000);
    reader.process.cutFromStore(true);
    reader.process.resume();
    ChangeMessages.Reply reply = reader.pollNow(store.position());
    assertThat(reply.ageMillis()).isGreaterThan(BOUND_MILLIS);
  }

  @Test
  void anotherInstanceBecomesReaderAfterTheReaderFails() {
    startAll(30);
    readerOf(this).process.kill();
    time.advance(4_000);
    int before = store.calls();
    time.advance(10_000);
    // 30 instances with a renewal every 3.2 s, and two or three watches per second.
    assertThat(store.calls() - before).isAtMost(160);
  }

  @Test
  void revisionsNeverGoBackwards() {
    for (int seed = 1; seed <= 20; seed++) {
      StoreFanOutTest test = new StoreFanOutTest();
      test.startAll(12);
      SplittableRandom random = new SplittableRandom(seed);
      for (int i = 0; i < 40; i++) {
        Instance any = test.instances.get(random.nextInt(test.instances.size()));
        switch (random.nextInt(6)) {
          case 0 -> any.process.cutFromStore(random.nextBoolean());
          case 1 -> any.process.cutFromOthers(random.nextBoolean());
          case 2 -> test.store.forgetHistory();
          case 3 -> test.store.failWith(random.nextBoolean() ? Kind.UNAVAILABLE : null);
          default -> test.store.put(KEY, String.valueOf(i));
        }
        test.time.advance(random.nextInt(900));
      }
      test.instances.forEach(
          instance -> {
            instance.process.cutFromStore(false);
            instance.process.cutFromOthers(false);
          });
      test.store.failWith(null);
      test.store.put(KEY, "last");
      test.time.advance(6_000);
      test.assertAllHave("last");
      for (Instance instance : test.instances) {
        assertWithMessage("seed %s", seed).that(instance.hasRegressed).isFalse();
      }
    }
  }

  private static final class FailureScenario {
    private final StoreFanOutTest test = new StoreFanOutTest();
    private final long delayMillis;
    private Instance reader;

    private FailureScenario(long delayMillis) {
      this.delayMillis = delayMillis;
      test.startAll(12);
      test.time.advance(delayMillis);
    }

    private Instance reader() {
      reader = readerOf(test);
      return reader;
    }

    private void assertChangePropagatesInTime() {
      test.store.put(KEY, "2");
      test.time.advance(BOUND_MILLIS);
      for (Instance instance : test.instances) {
        if (instance != reader) {
          assertWithMessage("%s, reader failed after %s ms", instance.id, delayMillis)
              .that(instance.value())
              .isEqualTo("2");
        }
      }
    }
  }

  private static Instance readerOf(StoreFanOutTest test) {
    String id =
        Rendezvous.first(DOMAIN, test.instances.stream().map(i -> i.id).toList()).orElseThrow();
    return test.instances.stream().filter(i -> i.id.equals(id)).findFirst().orElseThrow();
  }

  private int callsInASteadyMinute() {
    time.advance(20_000);
    int before = store.calls();
    time.advance(60_000);
    return store.calls() - before;
  }

  private void startAll(int count) {
    if (instances.isEmpty()) {
      store.put(KEY, "1");
    }
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(instances.size()));
      time.advance(20);
    }
    time.advance(5_000);
    assertAllHave("1");
  }

  private void assertAllHave(String value) {
    for (Instance instance : instances) {
      assertWithMessage(instance.id).that(instance.value()).isEqualTo(value);
    }
  }

  private final class Instance extends VirtualInstance {
    private StorePosition highestPosition = StorePosition.NONE;
    private boolean hasRegressed;

    private Instance(int index) {
      super(network, index, DOMAIN);
      start();
    }

    @Override
    void onChanged() {
      hasRegressed |= highestPosition.isAfter(view.position());
      highestPosition = view.position();
    }

    private ChangeMessages.Reply pollNow(StorePosition position) {
      try {
        byte[] request = ChangeMessages.encodeRequest(new ChangeMessages.Request(position, 0));
        return ChangeMessages.decodeReply(feed.answer(request).join());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private String value() {
      return view.items(KEY).stream().findFirst().map(StoreItem::text).orElse("");
    }
  }
}
