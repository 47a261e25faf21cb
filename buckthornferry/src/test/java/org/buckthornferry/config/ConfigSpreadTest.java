package org.buckthornferry.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import org.buckthornferry.testing.FakeFleet;
import org.buckthornferry.testing.FakeInstance;
import org.buckthornferry.testing.FakeStoreClient;

/** Simulates several instances under seeded faults and checks the distribution of revisions. */
class ConfigSpreadTest {
  private static final int INTERLEAVINGS = 10_000;
  private static final int TICK_MILLIS = 40;

  /** Checks after every step that no revision reverts or has two contents. */
  private static final class RevisionChecker {
    final Map<Long, String> attemptByRevision = new HashMap<>();
    final Map<FakeInstance, Long> applied = new HashMap<>();
    final Map<FakeInstance, Long> appliedWithoutMajorityCount = new HashMap<>();
    final Map<FakeInstance, Long> minimumAtStart = new HashMap<>();
    final Set<FakeInstance> ready = new HashSet<>();
    long highestByMajority;

    RevisionChecker(FakeFleet fleet) {
      fleet.observer = this::observe;
    }

    void started(FakeInstance instance) {
      minimumAtStart.put(instance, highestByMajority);
    }

    void observe(FakeInstance instance) {
      ConfigSnapshot snapshot = instance.snapshot();
      long before = applied.getOrDefault(instance, 0L);
      if (snapshot.revision() != before) {
        assertWithMessage("revision of %s", instance.id())
            .that(snapshot.revision())
            .isGreaterThan(before);
        applied.put(instance, snapshot.revision());
        String attempt = attemptByRevision.putIfAbsent(snapshot.revision(), snapshot.attemptId());
        assertThat(attempt == null ? snapshot.attemptId() : attempt)
            .isEqualTo(snapshot.attemptId());
        long withoutMajority = (Long) instance.config.dump().get("appliedWithoutMajority");
        if (appliedWithoutMajorityCount.getOrDefault(instance, 0L) == withoutMajority) {
          highestByMajority = Math.max(highestByMajority, snapshot.revision());
        }
        appliedWithoutMajorityCount.put(instance, withoutMajority);
      }
      if (instance.config.isReady() && ready.add(instance)) {
        assertWithMessage("revision of new instance %s when ready", instance.id())
            .that(snapshot.revision())
            .isAtLeast(minimumAtStart.getOrDefault(instance, 0L));
      }
    }
  }

  private static FakeInstance start(FakeFleet fleet, RevisionChecker checker, int number) {
    FakeInstance instance = fleet.start("i" + number, "kol-" + number % 3, "kol");
    checker.started(instance);
    return instance;
  }

  private static Publisher publisher(FakeFleet fleet) {
    return new Publisher(
        new FakeStoreClient(fleet, null), fleet.random, task -> fleet.after(100, task));
  }

  private static void publish(FakeFleet fleet, Publisher publisher) {
    var unused = publisher.publish(TestDeclarations.withWeight(1 + fleet.random.nextInt(1_000)));
  }

  private static long storedRevision(FakeFleet fleet) {
    return fleet
        .store
        .get(EncodedRevision.KEY)
        .join()
        .map(value -> EncodedRevision.decode(value.value()).snapshot().revision())
        .orElse(0L);
  }

  private static void injectFault(FakeFleet fleet, RevisionChecker checker, int size) {
    Random random = fleet.random;
    int number = random.nextInt(size);
    String id = "i" + number;
    switch (random.nextInt(7)) {
      case 0 -> {
        if (fleet.instances.containsKey(id)) {
          fleet.crash(id);
          fleet.after(200 + random.nextInt(1_500), () -> start(fleet, checker, number));
        }
      }
      case 1 -> {
        FakeInstance instance = fleet.instances.get(id);
        if (instance != null) {
          instance.pauseMillis(100 + random.nextInt(2_000));
        }
      }
      case 2 -> fleet.storeDown = true;
      case 3 -> fleet.storeDown = false;
      case 4 -> fleet.lossPercent = random.nextInt(50);
      case 5 -> fleet.lostAnswerPercent = random.nextInt(60);
      default -> {
        int boundary = 1 + random.nextInt(size - 1);
        fleet.cut = (from, to) -> (numberOf(from) < boundary) != (numberOf(to) < boundary);
        fleet.after(300 + random.nextInt(1_500), () -> fleet.cut = (from, to) -> false);
      }
    }
  }

  private static int numberOf(FakeInstance instance) {
    return Integer.parseInt(instance.id().substring(1));
  }

  static void runInterleaving(long seed) {
    FakeFleet fleet = new FakeFleet(seed, TICK_MILLIS);
    RevisionChecker checker = new RevisionChecker(fleet);
    Random random = fleet.random;
    int size = 3 + random.nextInt(3);
    for (int i = 0; i < size; i++) {
      start(fleet, checker, i);
    }
    Publisher publisher = publisher(fleet);
    publish(fleet, publisher);
    fleet.runMillis(1_000);
    fleet.duplicatePercent = random.nextInt(20);
    fleet.maxDelayMillis = 1 + random.nextInt(300);
    for (int step = 0; step < 8; step++) {
      if (random.nextInt(3) == 0) {
        publish(fleet, publisher);
      } else {
        injectFault(fleet, checker, size);
      }
      fleet.runMillis(random.nextInt(600));
    }
    endFaults(fleet);
    long stored = awaitConvergence(fleet);
    for (FakeInstance instance : fleet.instances.values()) {
      assertWithMessage("seed %s: revision of %s", seed, instance.id())
          .that(instance.snapshot().revision())
          .isEqualTo(stored);
      assertWithMessage("seed %s: %s is ready", seed, instance.id())
          .that(instance.config.isReady())
          .isTrue();
    }
  }

  private static void endFaults(FakeFleet fleet) {
    fleet.lossPercent = 0;
    fleet.duplicatePercent = 0;
    fleet.lostAnswerPercent = 0;
    fleet.storeDown = false;
    fleet.maxDelayMillis = 2;
    fleet.runMillis(3_000);
  }

  /** Runs until every instance has applied the stored revision, for at most 5 s (the target). */
  private static long awaitConvergence(FakeFleet fleet) {
    for (int i = 0; i < 20; i++) {
      long stored = storedRevision(fleet);
      boolean all =
          fleet.instances.values().stream()
              .allMatch(
                  instance ->
                      instance.snapshot().revision() == stored && instance.config.isReady());
      if (all) {
        return stored;
      }
      fleet.runMillis(250);
    }
    return storedRevision(fleet);
  }

  /** P11: a revision never reverts, and all instances converge after the faults end. */
  @Example
  void revisionsNeverRevertAndConvergeInSeededInterleavings() {
    LongStream.range(0, INTERLEAVINGS).forEach(ConfigSpreadTest::runInterleaving);
  }
}
