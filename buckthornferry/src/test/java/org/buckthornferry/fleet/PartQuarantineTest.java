package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.QuietFleetLog;
import org.buckthornferry.testing.VirtualInstances;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Tests the quarantine of parts on simulated instances that share a store and virtual time. Each
 * request arrives at a random instance and is sent to the next endpoint process.
 */
@ExtendWith(QuietFleetLog.class)
final class PartQuarantineTest {
  private static final long CONTACT_MILLIS = OperatingBounds.DEFAULTS.contactMillis();

  /** Requests with a part that may reach endpoints later than the contact time after its fifth. */
  private static final int MAX_LATE_REQUESTS = 3;

  private static final int LARGEST_FLEET = 300;

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final VirtualInstances network = new VirtualInstances(time, store);
  private final List<Instance> instances = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(36);
  private int processes;
  private int contents;

  @Test
  void refusesAPartThatCrashesEndpointsOnFleetsOfAnySize() {
    for (int count : new int[] {1, 2, 3, 8, 60, LARGEST_FLEET}) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(count);
      Culprit culprit = test.new Culprit("root", "dead");
      for (int i = 0; i < 60; i++) {
        test.serve("root", "fine");
        culprit.send();
        test.time.advance(400);
      }
      culprit.assertBound(count + " instances");
      test.assertServed("root", "fine");
    }
  }

  @Test
  void refusesAPartAtAnyPlaceOfThePrompt() {
    for (String[] parts :
        new String[][] {
          {"dead", "a", "b", "c"}, {"root", "dead", "b", "c"}, {"root", "a", "b", "dead"}
        }) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(8);
      Culprit culprit = test.new Culprit(parts);
      for (int i = 0; i < 40; i++) {
        test.serve("root", "a", "b", "c");
        culprit.send();
        test.time.advance(300);
      }
      culprit.assertBound(String.join(",", parts));
      test.assertServed("root", "a", "b", "c");
    }
  }

  @Test
  void refusesTwoPartsThatCrashEndpointsAtTheSameTime() {
    startAll(8);
    Culprit one = new Culprit("root", "dead1");
    Culprit two = new Culprit("root", "dead2");
    for (int i = 0; i < 60; i++) {
      serve("root", "fine");
      one.send();
      time.advance(150);
      two.send();
      time.advance(150);
    }
    one.assertBound("first");
    two.assertBound("second");
    assertServed("root", "fine");
  }

  @Test
  void refusesAPartThatComesBackAfterAPause() {
    for (int before = 1; before <= 5; before++) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(8);
      Culprit culprit = test.new Culprit("root", "dead");
      for (int i = 0; i < before; i++) {
        test.serve("root", "fine");
        culprit.send();
        test.time.advance(300);
      }
      test.time.advance(120_000);
      for (int i = 0; i < 40; i++) {
        test.serve("root", "fine");
        culprit.send();
        test.time.advance(300);
      }
      culprit.assertBound(before + " crashes before the pause");
    }
  }

  @Test
  void refusesAPartWhoseFirstCrashesCameAtOnce() {
    startAll(8);
    Culprit culprit = new Culprit("root", "dead");
    serve("root", "fine");
    for (int i = 0; i < 5; i++) {
      culprit.send();
    }
    time.advance(200);
    serve("root", "fine");
    time.advance(CONTACT_MILLIS);
    for (int i = 0; i < 40; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(500);
    }
    culprit.assertBound("at once");
    assertServed("root", "fine");
  }

  /** Guards against blame for parts of a request that several processes crashed under by itself. */
  @Test
  void doesNotBlameThePartsOfOneContentThatCrashesEndpoints() {
    startAll(8);
    for (int i = 0; i < 20; i++) {
      serve("root", "fine");
      crash(List.of(requestOf("same", "root", "rare")));
      time.advance(300);
      if (i % 5 == 0) {
        crash(List.of(requestOf("same", "root", "rare"), requestOf("other", "root", "rare")));
        time.advance(300);
      }
    }
    assertServed("root", "rare");
  }

  @Test
  void doesNotBlamePartsForCrashesOfOtherCauses() {
    for (int seed = 0; seed < 20; seed++) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(8);
      SplittableRandom choice = new SplittableRandom(seed);
      for (int i = 0; i < 40; i++) {
        List<SuspectRequest> running = new ArrayList<>();
        for (int j = 0; j < 4; j++) {
          running.add(test.request("root", "doc" + choice.nextInt(12)));
        }
        test.crash(running);
        for (int j = 0; j < 12; j++) {
          test.serve("root", "doc" + choice.nextInt(12));
        }
        test.time.advance(200);
      }
      test.time.advance(2 * CONTACT_MILLIS);
      for (int doc = 0; doc < 12; doc++) {
        test.assertServed("root", "doc" + doc);
      }
    }
  }

  /** Guards against blame for a part that all requests hold while every endpoint fails. */
  @Test
  void doesNotBlameAFrequentPartWhenNothingIsAnswered() {
    startAll(8);
    for (int i = 0; i < 5; i++) {
      serve("root", "doc" + i);
    }
    time.advance(1_000);
    for (int i = 0; i < 20; i++) {
      crash(List.of(request("root", "doc" + i % 5)));
      time.advance(400);
    }
    assertServed("root", "doc1");
  }

  /** The culprit is served beside many sound requests, which crash with it. */
  @Test
  void servesSoundRequestsThatCrashedBesideTheCulprit() {
    for (int seed = 0; seed < 20; seed++) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(8);
      Culprit culprit = test.new Culprit("root", "dead");
      SplittableRandom choice = new SplittableRandom(seed);
      for (int i = 0; i < 60; i++) {
        List<SuspectRequest> beside = new ArrayList<>();
        for (int j = 0; j < 3; j++) {
          beside.add(test.request("root", "doc" + choice.nextInt(30)));
        }
        culprit.sendBeside(beside);
        for (int j = 0; j < 6; j++) {
          test.serve("root", "doc" + choice.nextInt(30));
        }
        test.time.advance(300);
      }
      culprit.assertBound("seed " + seed);
      test.time.advance(2 * CONTACT_MILLIS);
      for (int doc = 0; doc < 30; doc++) {
        test.assertServed("root", "doc" + doc);
      }
    }
  }

  /** A rare part that always came with the culprit is refused only together with it. */
  @Test
  void servesARarePartThatCameWithTheCulpritOnly() {
    startAll(8);
    Culprit culprit = new Culprit("root", "rare", "dead");
    for (int i = 0; i < 30; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(300);
    }
    culprit.assertBound("with a rare part");
    assertServed("root", "rare");
    serve("root", "rare");
    time.advance(1_000);
    // Now that the rare part was answered, requests with the other part alone are refused.
    for (Instance instance : instances) {
      assertThat(instance.refuses("root", "dead")).isTrue();
    }
  }

  /** Guards against findings that hold on to the parts that came with the culprit at first. */
  @Test
  void refusesThePartWhenItComesWithOtherPartsThanBefore() {
    startAll(8);
    Culprit first = new Culprit("root", "rare", "dead");
    for (int i = 0; i < 10; i++) {
      serve("root", "fine");
      first.send();
      time.advance(300);
    }
    time.advance(CONTACT_MILLIS);
    Culprit later = new Culprit("root", "other", "dead");
    for (int i = 0; i < 30; i++) {
      serve("root", "fine");
      later.send();
      time.advance(500);
    }
    assertThat(later.sentMillis.size()).isAtMost(MAX_LATE_REQUESTS);
    assertServed("root", "other");
  }

  @Test
  void anAnswerClearsABlamedPartOnAllInstances() {
    startAll(8);
    Culprit culprit = new Culprit("root", "dead");
    for (int i = 0; i < 10; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(300);
    }
    assertThat(instances.get(3).refuses("root", "dead")).isTrue();
    instances.get(5).quarantine.onAnswered(List.of("root", "dead"), 0);
    time.advance(2_000);
    assertServed("root", "dead");
    assertThat(instances.get(0).view.items(PartQuarantine.PREFIX)).isEmpty();
  }

  @Test
  void aTrialClearsACoincidenceInTimeAndIsGrantedOnceToAllInstances() {
    startAll(8);
    for (int i = 0; i < 3; i++) {
      serve("root", "fine");
      crash(List.of(request("root", "rare")));
      time.advance(500);
    }
    time.advance(CONTACT_MILLIS);
    int trials = 0;
    for (Instance instance : instances) {
      trials += instance.isTrialGranted("root", "rare") ? 1 : 0;
    }
    assertThat(trials).isEqualTo(1);
    instances.get(2).quarantine.onAnswered(List.of("root", "rare"), 0);
    time.advance(1_000);
    assertServed("root", "rare");
  }

  @Test
  void aBrokenConnectionOfAProcessThatRespondsIsNoCrash() {
    startAll(8);
    for (int i = 0; i < 10; i++) {
      serve("root", "fine");
      Endpoint endpoint = nextEndpoint();
      Instance observer = instances.get(i % 8);
      observer.quarantine.onBroken(endpoint, "c" + i, List.of("root", "rare"), 50);
      time.advance(200);
      // Another instance gets a response from the same process.
      instances.get((i + 1) % 8).quarantine.onResponse(endpoint);
      time.advance(400);
    }
    assertServed("root", "rare");
  }

  @Test
  void refusesThePartWheneverAnEvaluatorOrTheStoreFails() {
    for (Failure failure : Failure.values()) {
      for (int after = 0; after < 5; after++) {
        PartQuarantineTest test = new PartQuarantineTest();
        test.startAll(8);
        Culprit culprit = test.new Culprit("root", "dead");
        for (int i = 0; i < 40; i++) {
          if (i == after) {
            failure.inject(test);
          }
          test.serve("root", "fine");
          culprit.send();
          test.time.advance(400);
        }
        culprit.assertBound(failure + " after " + after + " crashes");
        test.assertServed("root", "fine");
      }
    }
  }

  @Test
  void instancesStartedLaterReadTheFindingFromTheStore() {
    startAll(8);
    Culprit culprit = new Culprit("root", "dead");
    for (int i = 0; i < 6; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(400);
    }
    time.advance(CONTACT_MILLIS);
    instances.forEach(instance -> instance.process.kill());
    instances.clear();
    startAll(8);
    for (Instance instance : instances) {
      assertThat(instance.refuses("root", "dead")).isTrue();
    }
  }

  @Test
  void aFindingExpiresAfterTheRetentionTime() {
    startAll(4);
    Culprit culprit = new Culprit("root", "dead");
    for (int i = 0; i < 6; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(400);
    }
    time.advance(2 * PartQuarantine.RETENTION_MILLIS);
    assertServed("root", "dead");
  }

  @Test
  void aFindingThatTheStoreHasLostIsWrittenAgainAndStaysInForce() {
    for (int count : new int[] {1, 8, 60}) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(count);
      final FakeSharedStore.Snapshot copy = test.store.snapshot();
      test.blame();
      test.store.restore(copy);
      for (int i = 0; i < 40; i++) {
        test.time.advance(500);
        test.assertRefused("root", "dead");
      }
      test.instances.forEach(instance -> instance.process.kill());
      test.instances.clear();
      test.startAll(count);
      test.assertRefused("root", "dead");
    }
  }

  @Test
  void aFindingThatWasClearedStaysSoWhenTheStoreBringsItBack() {
    startAll(8);
    blame();
    FakeSharedStore.Snapshot copy = store.snapshot();
    instances.get(3).quarantine.onAnswered(List.of("root", "dead"), 0);
    time.advance(1_000);
    assertServed("root", "dead");
    store.restore(copy);
    for (int i = 0; i < 40; i++) {
      time.advance(500);
      assertServed("root", "dead");
    }
    instances.forEach(instance -> instance.process.kill());
    instances.clear();
    startAll(8);
    assertServed("root", "dead");
  }

  /** The lease and the entry take a few milliseconds each. */
  @Test
  void aFindingThatIsClearedWhileItIsBeingWrittenDoesNotStayInTheStore() {
    for (int delayMillis = 0; delayMillis < 12; delayMillis++) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(1);
      Instance writer = test.instances.get(0);
      Culprit culprit = test.new Culprit("root", "dead");
      for (int i = 0; i < 30 && !writer.refuses("root", "dead"); i++) {
        test.serve("root", "fine");
        culprit.send();
        for (int millis = 0; millis < 400 && !writer.refuses("root", "dead"); millis++) {
          test.time.advance(1);
        }
      }
      assertThat(writer.refuses("root", "dead")).isTrue();
      test.time.advance(delayMillis);
      writer.quarantine.onAnswered(List.of("root", "dead"), 0);
      test.time.advance(3_000);
      assertThat(writer.refuses("root", "dead")).isFalse();
      assertWithMessage("cleared after %s ms", delayMillis)
          .that(writer.view.items(PartQuarantine.PREFIX))
          .isEmpty();
    }
  }

  /** Lets a part crash endpoints until all instances refuse it and the store has the finding. */
  private void blame() {
    Culprit culprit = new Culprit("root", "dead");
    for (int i = 0; i < 30; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(400);
    }
    assertRefused("root", "dead");
  }

  private void assertRefused(String... parts) {
    for (Instance instance : instances) {
      assertWithMessage("%s at %s", String.join(",", parts), instance.id)
          .that(instance.refuses(parts))
          .isTrue();
    }
  }

  @Test
  void aCrashCostsFewMessagesAndNoStoreCall() {
    for (int count : new int[] {8, 60, LARGEST_FLEET}) {
      PartQuarantineTest test = new PartQuarantineTest();
      test.startAll(count);
      int before = test.messages();
      Endpoint endpoint = test.nextEndpoint();
      for (int i = 0; i < 4; i++) {
        test.instances
            .get(i % count)
            .quarantine
            .onBroken(endpoint, "c" + i, List.of("root", "doc"), 50);
      }
      test.time.advance(2_000);
      assertThat(test.messages() - before).isAtMost(8);
      assertThat(test.store.value(PartQuarantine.PREFIX)).isEmpty();
    }
  }

  @Test
  void theFailureOfManyEndpointsCostsFewMessages() {
    startAll(60);
    int before = messages();
    for (int process = 0; process < 100; process++) {
      crash(List.of(request("root", "doc" + process), request("root", "doc" + process)));
    }
    time.advance(2_000);
    // A report to each evaluator from each instance, and questions to all instances about the root.
    assertThat(messages() - before).isAtMost(60 * 2 + 60 * 4);
    assertServed("root", "doc1");
  }

  @Test
  void instancesThatWereSuspendedOrCutOffRefuseThePartWhenTheyAreBack() {
    startAll(8);
    Instance suspended = instances.remove(7);
    Instance cutOff = instances.remove(6);
    suspended.process.suspend();
    cutOff.process.cutFromStore(true);
    cutOff.process.cutFromOthers(true);
    Culprit culprit = new Culprit("root", "dead");
    for (int i = 0; i < 20; i++) {
      serve("root", "fine");
      culprit.send();
      time.advance(400);
    }
    suspended.process.resume();
    cutOff.process.cutFromStore(false);
    cutOff.process.cutFromOthers(false);
    time.advance(CONTACT_MILLIS);
    for (Instance instance : List.of(suspended, cutOff)) {
      assertWithMessage(instance.id).that(instance.refuses("root", "dead")).isTrue();
      assertWithMessage(instance.id).that(instance.refuses("root", "fine")).isFalse();
    }
  }

  @Test
  void memoryIsBounded() {
    SoundParts soundParts = new SoundParts();
    CrashLog crashes = new CrashLog();
    for (int i = 0; i < 100_000; i++) {
      soundParts.record(List.of("part" + i), i);
      crashes.add(
          new CrashLog.Crash(
              "process" + i, i, List.of(new SuspectRequest("c" + i, i, List.of("part" + i)))));
    }
    assertThat(soundParts.size()).isAtMost(10_000);
    assertThat(crashes.since(0).size()).isAtMost(256);
  }

  private enum Failure {
    EVALUATOR_KILLED {
      @Override
      void inject(PartQuarantineTest test) {
        Instance evaluator = test.evaluator();
        evaluator.process.kill();
        test.instances.remove(evaluator);
      }
    },
    BOTH_EVALUATORS_KILLED {
      @Override
      void inject(PartQuarantineTest test) {
        EVALUATOR_KILLED.inject(test);
        EVALUATOR_KILLED.inject(test);
      }
    },
    EVALUATOR_SUSPENDED {
      @Override
      void inject(PartQuarantineTest test) {
        Instance evaluator = test.evaluator();
        evaluator.process.suspend();
        test.instances.remove(evaluator);
      }
    },
    EVALUATOR_CUT_FROM_OTHERS {
      @Override
      void inject(PartQuarantineTest test) {
        Instance evaluator = test.evaluator();
        evaluator.process.cutFromOthers(true);
        test.instances.remove(evaluator);
      }
    },
    EVALUATOR_CUT_FROM_STORE {
      @Override
      void inject(PartQuarantineTest test) {
        test.evaluator().process.cutFromStore(true);
      }
    },
    STORE_SILENT {
      @Override
      void inject(PartQuarantineTest test) {
        test.store.failWith(Kind.UNAVAILABLE);
      }
    };

    abstract void inject(PartQuarantineTest test);
  }

  /** A part that crashes every endpoint, and the requests with it. */
  private final class Culprit {
    private final String[] parts;
    private final List<Long> sentMillis = new ArrayList<>();

    private Culprit(String... parts) {
      this.parts = parts;
    }

    private void send() {
      sendBeside(List.of());
    }

    /** Sends a request that no other one is like, if its instance does not refuse it. */
    private void sendBeside(List<SuspectRequest> beside) {
      Instance instance = anyInstance();
      if (instance.refuses(parts) && !instance.isTrialGranted(parts)) {
        return;
      }
      sentMillis.add(time.nowMillis());
      Endpoint endpoint = nextEndpoint();
      instance.breakConnection(endpoint, request(parts));
      for (SuspectRequest request : beside) {
        anyInstance().breakConnection(endpoint, request);
      }
    }

    private void assertBound(String message) {
      long lateMillis = sentMillis.size() < 5 ? 0 : sentMillis.get(4) + CONTACT_MILLIS;
      long late =
          sentMillis.size() < 5 ? 0 : sentMillis.stream().filter(sent -> sent > lateMillis).count();
      assertWithMessage("%s: %s", message, sentMillis).that(late).isAtMost(MAX_LATE_REQUESTS);
    }
  }

  private Endpoint nextEndpoint() {
    processes++;
    return new Endpoint(
        "e" + processes,
        "model",
        Addresses.parse("127.0.0.1:1"),
        "z",
        "v1",
        4,
        false,
        0,
        processes,
        0);
  }

  private SuspectRequest request(String... parts) {
    return requestOf("content" + ++contents, parts);
  }

  private static SuspectRequest requestOf(String content, String... parts) {
    return new SuspectRequest(content, 0, List.of(parts));
  }

  /** Lets an endpoint crash under these requests, each of which came from any instance. */
  private void crash(List<SuspectRequest> running) {
    Endpoint endpoint = nextEndpoint();
    for (SuspectRequest request : running) {
      anyInstance().breakConnection(endpoint, request);
    }
  }

  /** Lets any instance serve a request unless it refuses it. */
  private void serve(String... parts) {
    Instance instance = anyInstance();
    if (!instance.refuses(parts)) {
      instance.quarantine.onAnswered(List.of(parts), 0);
    }
  }

  private Instance anyInstance() {
    return instances.get(random.nextInt(instances.size()));
  }

  private Instance evaluator() {
    return instances.stream()
        .filter(instance -> instance.quarantine.isEvaluator())
        .findFirst()
        .orElseThrow();
  }

  private int messages() {
    return instances.stream().mapToInt(i -> i.calls(PeerMessageKind.PARTS)).sum();
  }

  private void assertServed(String... parts) {
    for (Instance instance : instances) {
      assertWithMessage("%s at %s", String.join(",", parts), instance.id)
          .that(instance.refuses(parts))
          .isFalse();
    }
  }

  private void startAll(int count) {
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance(i);
      instances.add(instance);
      instance.start();
    }
    time.advance(10_000);
  }

  private final class Instance extends VirtualInstance {
    private final PartQuarantine quarantine;

    private Instance(int index) {
      super(network, index, "domain-" + index % 3);
      quarantine =
          new PartQuarantine(
              process.store(), view, blackboard, peers, id, process, process, new MetricRegistry());
      addHandler(PeerMessageKind.PARTS, quarantine::answer);
    }

    @Override
    void onChanged() {
      quarantine.refresh();
    }

    private boolean refuses(String... parts) {
      return quarantine.refusal(List.of(parts)).isPresent();
    }

    private boolean isTrialGranted(String... parts) {
      List<Boolean> outcome = new ArrayList<>();
      quarantine
          .requestTrial(quarantine.refusal(List.of(parts)).orElseThrow())
          .thenAccept(outcome::add);
      time.advance(20);
      return outcome.equals(List.of(true));
    }

    private void breakConnection(Endpoint endpoint, SuspectRequest request) {
      quarantine.onBroken(endpoint, request.contentHash(), request.partIds(), 50);
    }
  }
}
