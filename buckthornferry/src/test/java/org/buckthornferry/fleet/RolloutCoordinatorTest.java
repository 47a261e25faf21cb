package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.rollout.CanaryTrial.Ending;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests rollouts on simulated instances under load, on virtual time. Guards against overexposure to
 * a faulty version, a late rollback and an undecided rollout, also when the leader or the store
 * fails.
 */
final class RolloutCoordinatorTest {
  private static final double EXPOSURE_SHARE = 0.1;
  private static final double EXPOSURE_SLACK = 50;
  private static final long DURATION_MILLIS = 15_000;

  /** Time after {@link #ROLLBACK_BAD_ANSWERS} in which the version must be rolled back. */
  private static final long MAX_ROLLBACK_MILLIS = 5_000;

  /** Number of bad answers after which the time for the rollback starts. */
  private static final int ROLLBACK_BAD_ANSWERS = 50;

  private static final int SEEDS = 20;
  private static final String SERVICE = "model";
  private static final String STATE_KEY = "state/" + SERVICE;
  private static final List<String> ROUTES = List.of("long", "short", "mixed");

  /** Fault of the new version. */
  private enum Fault {
    NONE {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return false;
      }
    },
    ALWAYS {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return true;
      }
    },
    INTERMITTENT {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return random.nextDouble() < 0.4;
      }
    },
    DELAYED {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return elapsedMillis > DURATION_MILLIS / 3;
      }
    },
    ON_ONE_ROUTE {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return route.equals("short");
      }
    };

    abstract boolean isBad(String route, long elapsedMillis, SplittableRandom random);
  }

  /** Infrastructure failure during the rollout. */
  private enum Disruption {
    NONE,
    LEADER_KILLED,
    LEADER_SUSPENDED,
    LEADER_CUT_FROM_OTHERS,
    LEADER_CUT_FROM_STORE,
    ANOTHER_CUT_FROM_OTHERS,
    STORE_DOWN_AT_THE_END,
    STORE_RESTORED_FROM_BEFORE_THE_ORDER,
    STORE_RESTORED_WITH_THE_ORDER
  }

  @Test
  void rollsBackAFaultyVersionWithinTheExposureBound() {
    for (Fault fault : Fault.values()) {
      for (boolean isSlow : new boolean[] {true, false}) {
        for (int seed = 1; fault != Fault.NONE && seed <= SEEDS; seed++) {
          Simulation simulation =
              new Simulation(seed, seed % 5 == 0 ? 60 : 8, fault, isSlow, Disruption.NONE);
          simulation.run();
          simulation.assertBounds();
          assertWithMessage(simulation.name).that(simulation.state()).isEqualTo("TAKEN_BACK");
        }
      }
    }
  }

  @Test
  void completesTheRolloutOfASoundVersionInTime() {
    for (int seed = 1; seed <= 3 * SEEDS; seed++) {
      Simulation simulation =
          new Simulation(seed, seed % 5 == 0 ? 60 : 8, Fault.NONE, false, Disruption.NONE);
      simulation.run();
      simulation.assertBounds();
      assertWithMessage(simulation.name).that(simulation.state()).isEqualTo("DONE");
      for (Instance instance : simulation.instances) {
        assertThat(instance.policy().mayUse("v1")).isFalse();
        assertThat(instance.policy().isCanary("v2")).isFalse();
      }
    }
  }

  @Test
  void boundsHoldDuringDisruptions() {
    for (Disruption disruption : Disruption.values()) {
      for (Fault fault : Fault.values()) {
        for (int seed = 1; seed <= 4; seed++) {
          Simulation simulation = new Simulation(seed, 8, fault, seed % 2 == 0, disruption);
          simulation.run();
          simulation.assertBounds();
          boolean isDone = fault == Fault.NONE && disruption != Disruption.LEADER_CUT_FROM_OTHERS;
          assertWithMessage(simulation.name)
              .that(simulation.state())
              .isEqualTo(isDone ? "DONE" : "TAKEN_BACK");
        }
      }
    }
  }

  /**
   * The fastest endpoints of the new version are as slow as the slowest ones of the old version, so
   * that single answers say little.
   */
  @Test
  void aSlowVersionOnUnlikeHardwareIsStoppedByEvidence() {
    for (Disruption disruption :
        new Disruption[] {
          Disruption.NONE, Disruption.LEADER_KILLED, Disruption.ANOTHER_CUT_FROM_OTHERS
        }) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation =
            new Simulation(seed, seed % 5 == 0 ? 60 : 7, Fault.ALWAYS, true, disruption);
        simulation.hasUnlikeHardware = true;
        simulation.requestsPerSecondAndInstance = seed % 5 == 0 ? 3 : 10;
        simulation.disruptsAfterBadAnswers = 40;
        simulation.run();
        simulation.assertBounds();
        assertWithMessage(simulation.name).that(simulation.state()).isEqualTo("TAKEN_BACK");
        if (simulation.badAnswerMillis.size() >= ROLLBACK_BAD_ANSWERS) {
          assertWithMessage(simulation.name)
              .that(simulation.lastExposedMillis)
              .isAtMost(
                  simulation.badAnswerMillis.get(ROLLBACK_BAD_ANSWERS - 1)
                      + MAX_ROLLBACK_MILLIS / 2);
        }
      }
    }
  }

  @Tag("known-red")
  @Test
  void aSoundVersionOnUnlikeHardwareIsCompleted() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation =
          new Simulation(seed, seed % 5 == 0 ? 60 : 7, Fault.NONE, false, Disruption.NONE);
      simulation.hasUnlikeHardware = true;
      simulation.requestsPerSecondAndInstance = seed % 5 == 0 ? 3 : 10;
      simulation.run();
      assertWithMessage(simulation.name).that(simulation.state()).isEqualTo("DONE");
    }
  }

  /** The first order is rolled back; the second is for another version. */
  @Test
  void aLaterOrderStartsANewRollout() {
    Simulation simulation = new Simulation(1, 8, Fault.ALWAYS, true, Disruption.NONE);
    simulation.run();
    assertThat(simulation.state()).isEqualTo("TAKEN_BACK");
    simulation.store.put("order/" + SERVICE, "v3");
    simulation.time.advance(100);
    VersionPolicy policy = simulation.instances.get(0).policy();
    assertThat(policy.isCanary("v3")).isTrue();
    assertThat(policy.mayUse("v3")).isTrue();
    simulation.time.advance(DURATION_MILLIS);
    assertThat(simulation.state()).isEqualTo("TAKEN_BACK");
    assertThat(policy.mayUse("v3")).isFalse();
  }

  @Test
  void aVersionWithoutAnOrderIsUsedNormally() {
    Simulation simulation = new Simulation(1, 3, Fault.NONE, false, Disruption.NONE);
    VersionPolicy policy = simulation.instances.get(0).policy();
    assertThat(policy.mayUse("v2")).isTrue();
    assertThat(policy.isCanary("v2")).isFalse();
  }

  @Test
  void instancesStartedLaterDoNotUseARolledBackVersion() {
    Simulation simulation = new Simulation(1, 3, Fault.ALWAYS, false, Disruption.NONE);
    simulation.run();
    Instance later = simulation.start(3);
    simulation.time.advance(2_000);
    assertThat(later.policy().mayUse("v2")).isFalse();
    assertThat(later.policy().mayUse("v1")).isTrue();
  }

  @Test
  void anOutcomeThatTheStoreHasLostIsWrittenAgainAndStaysInForce() {
    for (int count : new int[] {1, 8, 60}) {
      for (Fault fault : new Fault[] {Fault.NONE, Fault.ALWAYS}) {
        for (boolean isOrderLost : new boolean[] {true, false}) {
          Simulation simulation = new Simulation(1, count, fault, false, Disruption.NONE);
          simulation.requestsPerSecondAndInstance = count == 1 ? 30 : 3.2;
          simulation.run();
          String outcome = simulation.state();
          if (isOrderLost) {
            simulation.restoreFromBeforeTheOrder();
          } else {
            simulation.store.restore(simulation.copyWithOrder);
          }
          for (int i = 0; i < 200; i++) {
            simulation.time.advance(100);
            for (Instance instance : simulation.instances) {
              assertThat(instance.policy().mayUse("v2")).isEqualTo(fault == Fault.NONE);
              assertThat(instance.policy().isCanary("v2")).isFalse();
            }
          }
          assertWithMessage(simulation.name).that(simulation.state()).isEqualTo(outcome);
          Instance later = simulation.start(count);
          simulation.time.advance(2_000);
          assertThat(later.policy().mayUse("v2")).isEqualTo(fault == Fault.NONE);
          assertThat(later.policy().isCanary("v2")).isFalse();
        }
      }
    }
  }

  /**
   * Simulates one rollout: 12 s of requests before the order, then the order and 12 s beyond its
   * duration.
   */
  private static final class Simulation {
    private static final long STEP_MILLIS = 10;

    /** Times per unit of work of the endpoints of one version, relative to the fastest. */
    private static final double[] HARDWARE = {1, 1, 1, 1, 1, 1.9, 1.9, 1.9, 1.9, 5, 5, 5, 5};

    private final ManualScheduler time = new ManualScheduler();
    private final FakeSharedStore store = new FakeSharedStore(time);
    private final VirtualInstances network = new VirtualInstances(time, store);
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> badAnswerMillis = new ArrayList<>();
    private final SplittableRandom random;
    private final String name;
    private final Fault fault;
    private final boolean isSlow;
    private final Disruption disruption;
    private long orderedMillis = -1;
    private long requests;
    private long exposedRequests;
    private long lastExposedMillis;
    private double requestsPerSecondAndInstance = 3.2;
    private boolean hasUnlikeHardware;
    private int disruptsAfterBadAnswers;
    private FakeSharedStore.Snapshot copyBeforeOrder;
    private FakeSharedStore.Snapshot copyWithOrder;

    private Simulation(int seed, int count, Fault fault, boolean isSlow, Disruption disruption) {
      this.random = new SplittableRandom(seed);
      this.fault = fault;
      this.isSlow = isSlow;
      this.disruption = disruption;
      this.name = fault + ", slow " + isSlow + ", " + disruption + ", " + count + ", seed " + seed;
      for (int i = 0; i < count; i++) {
        start(i);
      }
      time.advance(3_000);
    }

    private Instance start(int index) {
      Instance instance = new Instance(this, index);
      instances.add(instance);
      instance.start();
      return instance;
    }

    private void run() {
      requestsUntil(nowMillis() + 12_000);
      orderedMillis = nowMillis();
      copyBeforeOrder = store.snapshot();
      store.put("order/" + SERVICE, "v2");
      copyWithOrder = store.snapshot();
      requestsUntil(orderedMillis + 2_000);
      while (badAnswerMillis.size() < disruptsAfterBadAnswers
          && nowMillis() < orderedMillis + DURATION_MILLIS / 2) {
        requestsUntil(nowMillis() + STEP_MILLIS);
      }
      Instance leader = leader();
      inject(leader);
      requestsUntil(orderedMillis + DURATION_MILLIS - 4_000);
      store.failWith(disruption == Disruption.STORE_DOWN_AT_THE_END ? Kind.UNAVAILABLE : null);
      requestsUntil(orderedMillis + DURATION_MILLIS - 1_000);
      store.failWith(null);
      leader.process.cutFromOthers(false);
      leader.process.cutFromStore(false);
      requestsUntil(orderedMillis + DURATION_MILLIS + 12_000);
    }

    private void inject(Instance leader) {
      switch (disruption) {
        case LEADER_KILLED -> {
          leader.process.kill();
          instances.remove(leader);
        }
        case LEADER_SUSPENDED -> {
          leader.process.suspend();
          time.schedule(leader.process::resume, 4_000);
        }
        case LEADER_CUT_FROM_OTHERS -> leader.process.cutFromOthers(true);
        case LEADER_CUT_FROM_STORE -> leader.process.cutFromStore(true);
        case ANOTHER_CUT_FROM_OTHERS ->
            instances.get(instances.get(0) == leader ? 1 : 0).process.cutFromOthers(true);
        case STORE_RESTORED_FROM_BEFORE_THE_ORDER -> restoreFromBeforeTheOrder();
        case STORE_RESTORED_WITH_THE_ORDER -> store.restore(copyWithOrder);
        case NONE, STORE_DOWN_AT_THE_END -> {}
        default -> throw new IllegalStateException("unknown disruption " + disruption);
      }
    }

    /** The operator writes the order again. */
    private void restoreFromBeforeTheOrder() {
      store.restore(copyBeforeOrder);
      time.schedule(() -> store.put("order/" + SERVICE, "v2"), 400);
    }

    private Instance leader() {
      List<String> ids = instances.stream().map(instance -> instance.id).toList();
      String id = Rendezvous.first("move/" + SERVICE, ids).orElseThrow();
      return instances.stream().filter(instance -> instance.id.equals(id)).findFirst().get();
    }

    private long nowMillis() {
      return TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    }

    private void requestsUntil(long endMillis) {
      double requestProbability = requestsPerSecondAndInstance * STEP_MILLIS / 1_000;
      while (nowMillis() < endMillis) {
        for (Instance instance : instances) {
          if (random.nextDouble() < requestProbability && !instance.process.isSuspended()) {
            request(instance);
          }
        }
        time.advance(STEP_MILLIS);
      }
    }

    private void request(Instance instance) {
      String route = ROUTES.get(random.nextInt(ROUTES.size()));
      VersionPolicy policy = instance.policy();
      boolean isTrial = policy.isCanary("v2") && policy.wantsCanaryRequest(route);
      boolean isNew = isTrial || !policy.mayUse("v1");
      policy.onPlaced(route, isNew ? "v2" : "v1");
      long sentMillis = nowMillis();
      if (orderedMillis >= 0 && sentMillis < orderedMillis + DURATION_MILLIS) {
        requests++;
        exposedRequests += isNew ? 1 : 0;
      }
      lastExposedMillis = isNew ? sentMillis : lastExposedMillis;
      boolean isBad = isNew && fault.isBad(route, sentMillis - orderedMillis, random);
      double units = 5 + random.nextInt(40);
      double normalMillis = 20 * Math.exp(0.3 * approximateGaussian()) * units;
      double hardware = hasUnlikeHardware ? HARDWARE[random.nextInt(HARDWARE.length)] : 1;
      double slowdown = isBad && isSlow ? (hasUnlikeHardware ? 4 : 5) : 1;
      double millis = hardware * slowdown * normalMillis;
      Ending ending = isBad && !isSlow ? Ending.FAILED : Ending.ANSWERED;
      boolean isRareFailure = random.nextDouble() < 0.01;
      time.schedule(
          () -> {
            if (isBad) {
              badAnswerMillis.add(nowMillis());
            }
            instance.coordinator.onAttemptEnded(
                endpoint(isNew ? "v2" : "v1"),
                route,
                isRareFailure ? Ending.FAILED : ending,
                millis,
                units);
          },
          (long) millis);
    }

    private double approximateGaussian() {
      double sum = 0;
      for (int i = 0; i < 12; i++) {
        sum += random.nextDouble();
      }
      return sum - 6;
    }

    private String state() {
      return store.value(STATE_KEY).replaceAll(".* ", "");
    }

    private void assertBounds() {
      if (fault == Fault.NONE) {
        return;
      }
      assertWithMessage("%s: requests to the new version of %s", name, requests)
          .that((double) exposedRequests)
          .isAtMost(EXPOSURE_SHARE * requests + EXPOSURE_SLACK);
      if (badAnswerMillis.size() >= ROLLBACK_BAD_ANSWERS) {
        assertWithMessage("%s: last request to the new version", name)
            .that(lastExposedMillis)
            .isAtMost(badAnswerMillis.get(ROLLBACK_BAD_ANSWERS - 1) + MAX_ROLLBACK_MILLIS);
      }
    }
  }

  private static Endpoint endpoint(String version) {
    return new Endpoint(
        version, SERVICE, Addresses.parse("127.0.0.1:1"), "z", version, 4, false, 0, -60_000, 0);
  }

  private static final class Instance extends VirtualInstance {
    private final RolloutCoordinator coordinator;

    private Instance(Simulation simulation, int index) {
      super(simulation.network, index, "domain-" + index % 3);
      blackboard
          .writerOf(OperatingBounds.ENTRY)
          .accept(
              new OperatingBounds(
                  0.2,
                  56,
                  10_000,
                  0.1,
                  0,
                  8_000,
                  3_000,
                  2_000,
                  2_000,
                  1_000,
                  8_000,
                  EXPOSURE_SHARE,
                  EXPOSURE_SLACK));
      blackboard
          .writerOf(EndpointList.ENTRY)
          .accept(new EndpointList(List.of(endpoint("v1"), endpoint("v2")), true));
      coordinator =
          new RolloutCoordinator(
              view,
              new TestDeploymentSource(SERVICE, DURATION_MILLIS),
              blackboard,
              peers,
              id,
              index,
              () -> {},
              process,
              process,
              process::timeOfDayMillis);
      addHandler(PeerMessageKind.MOVE, coordinator::answer);
    }

    private VersionPolicy policy() {
      return coordinator.policy(SERVICE);
    }
  }
}
