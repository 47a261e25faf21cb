package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Test;

/**
 * Tests the quarantine on simulated instances that share a store and virtual time, with crashes,
 * answers and failures of the owner or the store.
 */
final class ContentQuarantineTest {
  /** Time after the third crash in which all instances must quarantine the content. */
  private static final long BOUND_MILLIS = OperatingBounds.DEFAULTS.contactMillis();

  /** Time from sending a request until its endpoint crashes, in milliseconds. */
  private static final long RUN_MILLIS = 60;

  private static final String CONTENT = "0123456789abcdef";

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final VirtualInstances network = new VirtualInstances(time, store);
  private final List<Instance> instances = new ArrayList<>();

  @Test
  void allInstancesQuarantineAContentInTimeAfterThreeCrashes() {
    for (int count : new int[] {1, 2, 8, 95}) {
      ContentQuarantineTest test = new ContentQuarantineTest();
      test.startAll(count);
      for (int i = 0; i < 3; i++) {
        assertThat(test.instances.get(i % count).verdict()).isNotEqualTo(Verdict.QUARANTINED);
        test.crash(i % count, i);
        test.time.advance(400);
      }
      test.time.advance(BOUND_MILLIS - 400);
      test.assertAllQuarantine();
    }
  }

  /**
   * Guards against quarantining a frequent content that every endpoint serves when they fail
   * together.
   */
  @Test
  void simultaneousCrashesDoNotQuarantineAContent() {
    startAll(8);
    for (int i = 0; i < 6; i++) {
      crash(i, i);
      time.advance(RUN_MILLIS / 6);
    }
    time.advance(BOUND_MILLIS);
    for (Instance instance : instances) {
      assertWithMessage(instance.id).that(instance.verdict()).isEqualTo(Verdict.SUSPECT);
    }
    // A later crash is a second incident.
    crash(7, 7);
    time.advance(BOUND_MILLIS);
    assertAllQuarantine();
  }

  @Test
  void repeatedCrashesOfOneProcessCountOnce() {
    startAll(8);
    for (int i = 0; i < 8; i++) {
      crash(i, 1);
    }
    time.advance(BOUND_MILLIS);
    for (Instance instance : instances) {
      assertThat(instance.verdict()).isNotEqualTo(Verdict.QUARANTINED);
    }
  }

  /** Guards against quarantining a frequent content that coincides with unrelated crashes. */
  @Test
  void aContentAnsweredBetweenCrashesIsNeverQuarantined() {
    startAll(8);
    for (int i = 0; i < 30; i++) {
      crash(i % 8, i);
      time.advance(200);
      instances.get((i + 3) % 8).answerRequest();
      instances.get(i % 8).answerRequest();
      time.advance(200);
      assertThat(instances.get(i % 8).verdict()).isNotEqualTo(Verdict.QUARANTINED);
    }
  }

  @Test
  void anAnswerLiftsTheQuarantineOnAllInstances() {
    startAll(8);
    for (int i = 0; i < 3; i++) {
      crash(i, i);
      time.advance(100);
    }
    instances.get(7).answerRequest();
    time.advance(BOUND_MILLIS);
    for (Instance instance : instances) {
      assertWithMessage(instance.id).that(instance.verdict()).isNotEqualTo(Verdict.QUARANTINED);
    }
  }

  @Test
  void countsCrashesWheneverTheOwnerFails() {
    for (Failure failure : Failure.values()) {
      for (int after = 0; after < 3; after++) {
        ContentQuarantineTest test = new ContentQuarantineTest();
        test.startAll(8);
        Instance owner = test.owner();
        List<Instance> others = test.instances.stream().filter(i -> i != owner).toList();
        for (int i = 0; i < 3; i++) {
          if (i == after) {
            failure.inject(owner);
          }
          others.get(i).quarantine.onCrash(CONTENT, endpoint(i), RUN_MILLIS);
          test.time.advance(500);
        }
        test.time.advance(BOUND_MILLIS - 500);
        for (Instance other : others) {
          assertWithMessage("%s after %s crashes, %s", failure, after, other.id)
              .that(other.verdict())
              .isEqualTo(Verdict.QUARANTINED);
        }
      }
    }
  }

  @Test
  void aNewOwnerLearnsOfCrashesKnownOnlyToTheOldOwner() {
    startAll(8);
    Instance owner = owner();
    List<Instance> others = new ArrayList<>(instances);
    others.remove(owner);
    others.get(0).quarantine.onCrash(CONTENT, endpoint(0), RUN_MILLIS);
    time.advance(100);
    owner.process.kill();
    // The registration of the owner lapses.
    time.advance(12_000);
    others.get(1).quarantine.onCrash(CONTENT, endpoint(1), RUN_MILLIS);
    time.advance(100);
    others.get(2).quarantine.onCrash(CONTENT, endpoint(2), RUN_MILLIS);
    time.advance(BOUND_MILLIS);
    for (Instance other : others) {
      assertThat(other.verdict()).isEqualTo(Verdict.QUARANTINED);
    }
  }

  @Test
  void instancesStartedLaterReadTheQuarantineFromTheStore() {
    startAll(8);
    for (int i = 0; i < 3; i++) {
      crash(i, i);
      time.advance(RUN_MILLIS);
    }
    time.advance(BOUND_MILLIS);
    instances.forEach(instance -> instance.process.kill());
    instances.clear();
    startAll(8);
    assertAllQuarantine();
  }

  @Test
  void aQuarantineThatTheStoreHasLostIsWrittenAgainAndStaysInForce() {
    for (int count : new int[] {1, 8, 60}) {
      ContentQuarantineTest test = new ContentQuarantineTest();
      test.startAll(count);
      final FakeSharedStore.Snapshot copy = test.store.snapshot();
      for (int i = 0; i < 3; i++) {
        test.crash(i % count, i);
        test.time.advance(RUN_MILLIS);
      }
      test.time.advance(BOUND_MILLIS);
      final int before = test.store.calls();
      test.store.restore(copy);
      for (int i = 0; i < 40; i++) {
        test.time.advance(500);
        test.assertAllQuarantine();
      }
      // Listings in pages, renewals and watches of 20 s; and few calls for the lost entry.
      assertThat(test.store.calls() - before).isAtMost(count * (count / 3 + 40));
      test.instances.forEach(instance -> instance.process.kill());
      test.instances.clear();
      test.startAll(count);
      test.assertAllQuarantine();
    }
  }

  @Test
  void aQuarantineThatWasLiftedStaysSoWhenTheStoreBringsItBack() {
    startAll(8);
    for (int i = 0; i < 3; i++) {
      crash(i, i);
      time.advance(RUN_MILLIS);
    }
    time.advance(BOUND_MILLIS);
    FakeSharedStore.Snapshot copy = store.snapshot();
    instances.get(7).answerRequest();
    time.advance(1_000);
    store.restore(copy);
    for (int i = 0; i < 40; i++) {
      time.advance(500);
      for (Instance instance : instances) {
        assertThat(instance.verdict()).isEqualTo(Verdict.CLEAR);
      }
    }
    assertThat(store.value(ContentQuarantine.PREFIX + CONTENT)).isEmpty();
  }

  @Test
  void quarantineExpiresAfterTheRetentionTime() {
    startAll(4);
    for (int i = 0; i < 3; i++) {
      crash(i, i);
      time.advance(RUN_MILLIS);
    }
    time.advance(ContentQuarantine.RETENTION_MILLIS + BOUND_MILLIS);
    for (Instance instance : instances) {
      assertThat(instance.verdict()).isEqualTo(Verdict.CLEAR);
    }
  }

  @Test
  void writesToTheStoreSoonAfterAnOutageAndRarelyDuringIt() {
    for (long outageMillis = 12_000; outageMillis < 18_000; outageMillis += 700) {
      ContentQuarantineTest test = new ContentQuarantineTest();
      test.startAll(8);
      test.store.failWith(Kind.UNAVAILABLE);
      test.time.advance(outageMillis);
      int before = test.store.calls();
      test.time.advance(outageMillis);
      int callsWithoutCrashes = test.store.calls() - before;
      for (int i = 0; i < 3; i++) {
        test.crash(1, i);
        test.time.advance(RUN_MILLIS);
      }
      before = test.store.calls();
      test.time.advance(outageMillis);
      // One instance writes the crashes and retries once per second after the first attempts.
      assertThat(test.store.calls() - before)
          .isAtMost(callsWithoutCrashes + (int) (4 + outageMillis / 1_000));
      test.store.failWith(null);
      test.time.advance(BOUND_MILLIS);
      assertWithMessage("after %s ms", outageMillis)
          .that(test.instances.get(7).verdict())
          .isEqualTo(Verdict.QUARANTINED);
    }
  }

  /**
   * Most contents that an endpoint serves when it crashes are harmless, so a first crash must be
   * cheap.
   */
  @Test
  void aFirstCrashCostsOneMessagePerContentAndNoStoreCall() {
    for (int count : new int[] {8, 95, 300}) {
      ContentQuarantineTest test = new ContentQuarantineTest();
      test.startAll(count);
      test.time.advance(20_000);
      int before = test.messages();
      for (int i = 0; i < 20; i++) {
        test.instances.get(i % count).quarantine.onCrash("content" + i, endpoint(1), RUN_MILLIS);
      }
      test.time.advance(1_000);
      assertThat(test.messages() - before).isAtMost(20);
      assertThat(test.instances.get(0).view.items(ContentQuarantine.PREFIX)).isEmpty();
    }
  }

  private enum Failure {
    KILLED {
      @Override
      void inject(Instance instance) {
        instance.process.kill();
      }
    },
    SUSPENDED {
      @Override
      void inject(Instance instance) {
        instance.process.suspend();
      }
    },
    CUT_FROM_STORE {
      @Override
      void inject(Instance instance) {
        instance.process.cutFromStore(true);
      }
    },
    CUT_FROM_OTHERS {
      @Override
      void inject(Instance instance) {
        instance.process.cutFromOthers(true);
      }
    };

    abstract void inject(Instance instance);
  }

  private static Endpoint endpoint(int process) {
    return new Endpoint(
        "e" + process, "desk", Addresses.parse("127.0.0.1:1"), "z", "v1", 4, false, 0, process, 0);
  }

  private void crash(int instance, int process) {
    instances.get(instance).quarantine.onCrash(CONTENT, endpoint(process), RUN_MILLIS);
  }

  private Instance owner() {
    String id = Rendezvous.first(CONTENT, instances.stream().map(i -> i.id).toList()).orElseThrow();
    return instances.stream().filter(i -> i.id.equals(id)).findFirst().orElseThrow();
  }

  private int messages() {
    return instances.stream().mapToInt(i -> i.calls(PeerMessageKind.CRASHES)).sum();
  }

  private void startAll(int count) {
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance(i);
      instances.add(instance);
      instance.start();
    }
    time.advance(10_000);
  }

  private void assertAllQuarantine() {
    for (Instance instance : instances) {
      assertWithMessage("%s of %s", instance.id, instances.size())
          .that(instance.verdict())
          .isEqualTo(Verdict.QUARANTINED);
    }
  }

  private final class Instance extends VirtualInstance {
    private final ContentQuarantine quarantine;

    private Instance(int index) {
      super(network, index, "domain-" + index % 3);
      quarantine =
          new ContentQuarantine(
              process.store(),
              view,
              blackboard,
              peers,
              id,
              process,
              process,
              process::timeOfDayMillis);
      addHandler(PeerMessageKind.CRASHES, quarantine::answer);
    }

    @Override
    void onChanged() {
      quarantine.refresh();
    }

    private Verdict verdict() {
      return quarantine.verdict(CONTENT);
    }

    /** Reports an answered request to the quarantine as the relay does. */
    private void answerRequest() {
      if (!quarantine.isEmpty()) {
        quarantine.onServed(CONTENT);
      }
    }
  }
}
