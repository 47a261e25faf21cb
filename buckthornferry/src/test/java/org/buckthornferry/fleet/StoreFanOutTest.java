package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Test;

/** Instances of one failure domain on virtual time that hear of changes through one of them. */
final class StoreFanOutTest {
  /** The shortest time in which a confirmed change has to be in force, in milliseconds. */
  private static final long BOUND_MILLIS = OperatingBounds.DEFAULTS.drainMillis();

  private static final String KEY = "op/config";
  private static final String DOMAIN = "domain-a";

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final VirtualInstances network = new VirtualInstances(time, store);
  private final List<Instance> instances = new ArrayList<>();

  @Test
  void everyInstanceHearsOfAChangeWithinMilliseconds() {
    startAll(20);
    store.put(KEY, "2");
    time.advance(50);
    assertAllHave("2");
    store.remove(KEY);
    time.advance(250);
    assertAllHave("");
  }

  @Test
  void callsToTheStoreDoNotGrowWithTheInstancesButForRenewals() {
    startAll(10);
    int few = callsInASteadyMinute();
    startAll(50);
    int many = callsInASteadyMinute();
    // A renewal every 2 seconds and 40 milliseconds for each instance that is known.
    double renewalsOfFew = 10 * 60 / (2 + 0.04 * 10);
    double renewalsOfMany = 60 * 60 / (2 + 0.04 * 60);
    assertThat(many - 1.15 * renewalsOfMany).isAtMost(1.3 * (few - 0.9 * renewalsOfFew));
  }

  @Test
  void aSmallFailureDomainReadsTheStoreItself() {
    startAll(3);
    for (Instance instance : instances) {
      assertThat(instance.calls(PeerMessageKind.CHANGES)).isEqualTo(0);
    }
    store.put(KEY, "2");
    time.advance(50);
    assertAllHave("2");
  }

  @Test
  void aChangeIsInForceInTimeWheneverTheReaderDies() {
    for (long beforeMillis = 0; beforeMillis <= 600; beforeMillis += 25) {
      Play play = new Play(beforeMillis);
      play.reader().process.kill();
      play.changeAndCheck();
    }
  }

  @Test
  void aChangeIsInForceInTimeWheneverTheReaderIsSuspended() {
    for (long beforeMillis = 0; beforeMillis <= 600; beforeMillis += 25) {
      Play play = new Play(beforeMillis);
      Instance reader = play.reader();
      reader.process.suspend();
      play.changeAndCheck();
      reader.process.resume();
      play.test.time.advance(1_000);
      play.test.assertAllHave("2");
    }
  }

  @Test
  void aChangeIsInForceInTimeWheneverTheReaderLosesTheStore() {
    for (long beforeMillis = 0; beforeMillis <= 600; beforeMillis += 25) {
      Play play = new Play(beforeMillis);
      play.reader().process.cutFromStore(true);
      play.changeAndCheck();
    }
  }

  @Test
  void aChangeIsInForceInTimeWheneverTheReaderIsCutFromTheOthers() {
    for (long beforeMillis = 0; beforeMillis <= 600; beforeMillis += 25) {
      Play play = new Play(beforeMillis);
      play.reader().process.cutFromOthers(true);
      play.changeAndCheck();
    }
  }

  /** Its steady clock has stood still, so by that clock its copy looks as current as before. */
  @Test
  void aReaderThatWasSuspendedDoesNotCallItsCopyCurrent() {
    startAll(12);
    Instance reader = readerOf(this);
    reader.process.suspend();
    store.put(KEY, "2");
    time.advance(5_000);
    reader.process.cutFromStore(true);
    reader.process.resume();
    ChangeMessages.Reply reply = reader.replyNow(store.revision());
    assertThat(reply.ageMillis()).isGreaterThan(BOUND_MILLIS);
  }

  @Test
  void anotherInstanceReadsForTheRestAfterTheReaderHasFailed() {
    startAll(30);
    readerOf(this).process.kill();
    time.advance(4_000);
    int before = store.calls();
    time.advance(10_000);
    // 30 renewals in 3.2 seconds each, and two or three waiting calls a second.
    assertThat(store.calls() - before).isAtMost(160);
  }

  @Test
  void noCopyEverGoesBack() {
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
        assertWithMessage("seed %s", seed).that(instance.wentBack).isFalse();
      }
    }
  }

  private static final class Play {
    private final StoreFanOutTest test = new StoreFanOutTest();
    private final long beforeMillis;
    private Instance reader;

    private Play(long beforeMillis) {
      this.beforeMillis = beforeMillis;
      test.startAll(12);
      test.time.advance(beforeMillis);
    }

    private Instance reader() {
      reader = readerOf(test);
      return reader;
    }

    private void changeAndCheck() {
      test.store.put(KEY, "2");
      test.time.advance(BOUND_MILLIS);
      for (Instance instance : test.instances) {
        if (instance != reader) {
          assertWithMessage("%s, %s ms after the start", instance.id, beforeMillis)
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
    private long highestRevision;
    private boolean wentBack;

    private Instance(int index) {
      super(network, index, DOMAIN);
      start();
    }

    @Override
    void onChanged() {
      wentBack |= view.revision() < highestRevision;
      highestRevision = view.revision();
    }

    private ChangeMessages.Reply replyNow(long revision) {
      try {
        byte[] ask = ChangeMessages.encodeRequest(new ChangeMessages.Request(revision, 0));
        return ChangeMessages.decodeReply(feed.answer(ask).join());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private String value() {
      return view.items(KEY).stream().findFirst().map(StoreItem::text).orElse("");
    }
  }
}
