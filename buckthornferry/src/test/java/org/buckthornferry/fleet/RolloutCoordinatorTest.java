package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.VersionChange;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.rollout.CanaryTrial.Ending;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Test;

/** Instances on virtual time that move a service to another version while requests come. */
final class RolloutCoordinatorTest {
  private static final double SHARE = 0.1;
  private static final double SLACK = 50;
  private static final long DURATION_MILLIS = 15_000;
  private static final long ROLL_BACK_MILLIS = 5_000;
  private static final int BAD_ANSWERS = 50;
  private static final int SEEDS = 20;
  private static final String SERVICE = "model";
  private static final String STATE = "state/" + SERVICE;
  private static final List<String> ROUTES = List.of("long", "short", "mixed");

  /** How the new version answers. */
  private enum Fault {
    NONE {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return false;
      }
    },
    AT_ONCE {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return true;
      }
    },
    PARTLY {
      @Override
      boolean isBad(String route, long elapsedMillis, SplittableRandom random) {
        return random.nextDouble() < 0.4;
      }
    },
    LATER {
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

  /** What happens besides, a moment after the order and later. */
  private enum Trouble {
    NONE,
    LEADER_KILLED,
    LEADER_SUSPENDED,
    LEADER_CUT_FROM_OTHERS,
    LEADER_CUT_FROM_STORE,
    STORE_DOWN_AT_THE_END
  }

  @Test
  void aFaultyVersionStaysWithinItsBoundAndIsTakenBack() {
    for (Fault fault : Fault.values()) {
      for (boolean isSlow : new boolean[] {true, false}) {
        for (int seed = 1; fault != Fault.NONE && seed <= SEEDS; seed++) {
          Play play = new Play(seed, seed % 5 == 0 ? 60 : 8, fault, isSlow, Trouble.NONE);
          play.run();
          play.assertBounds();
          assertWithMessage(play.name).that(play.state()).isEqualTo("TAKEN_BACK");
        }
      }
    }
  }

  @Test
  void aSoundVersionIsDoneInTime() {
    for (int seed = 1; seed <= 3 * SEEDS; seed++) {
      Play play = new Play(seed, seed % 5 == 0 ? 60 : 8, Fault.NONE, false, Trouble.NONE);
      play.run();
      play.assertBounds();
      assertWithMessage(play.name).that(play.state()).isEqualTo("DONE");
      for (Instance instance : play.instances) {
        assertThat(instance.policy().mayUse("v1")).isFalse();
        assertThat(instance.policy().isCanary("v2")).isFalse();
      }
    }
  }

  @Test
  void theBoundsHoldInTrouble() {
    for (Trouble trouble : Trouble.values()) {
      for (Fault fault : Fault.values()) {
        for (int seed = 1; seed <= 4; seed++) {
          Play play = new Play(seed, 8, fault, seed % 2 == 0, trouble);
          play.run();
          play.assertBounds();
          boolean isDone = fault == Fault.NONE && trouble != Trouble.LEADER_CUT_FROM_OTHERS;
          assertWithMessage(play.name).that(play.state()).isEqualTo(isDone ? "DONE" : "TAKEN_BACK");
        }
      }
    }
  }

  /** The first order ends badly, the second is for another version. */
  @Test
  void anOrderThatFollowsIsAnotherMove() {
    Play play = new Play(1, 8, Fault.AT_ONCE, true, Trouble.NONE);
    play.run();
    assertThat(play.state()).isEqualTo("TAKEN_BACK");
    play.store.put("order/" + SERVICE, "v3");
    play.time.advance(100);
    VersionPolicy policy = play.instances.get(0).policy();
    assertThat(policy.isCanary("v3")).isTrue();
    assertThat(policy.mayUse("v3")).isTrue();
    play.time.advance(DURATION_MILLIS);
    assertThat(play.state()).isEqualTo("TAKEN_BACK");
    assertThat(policy.mayUse("v3")).isFalse();
  }

  @Test
  void aVersionThatNobodyOrderedServesLikeAnyOther() {
    Play play = new Play(1, 3, Fault.NONE, false, Trouble.NONE);
    VersionPolicy policy = play.instances.get(0).policy();
    assertThat(policy.mayUse("v2")).isTrue();
    assertThat(policy.isCanary("v2")).isFalse();
  }

  @Test
  void aVersionThatWasTakenBackStaysAwayFromInstancesThatStartLater() {
    Play play = new Play(1, 3, Fault.AT_ONCE, false, Trouble.NONE);
    play.run();
    Instance later = play.start(3);
    play.time.advance(2_000);
    assertThat(later.policy().mayUse("v2")).isFalse();
    assertThat(later.policy().mayUse("v1")).isTrue();
  }

  /** One move: 12 s of requests before the order, then the order and some seconds more. */
  private static final class Play {
    private static final long STEP_MILLIS = 10;
    private static final double REQUESTS_PER_SECOND_AND_INSTANCE = 3.2;

    private final ManualScheduler time = new ManualScheduler();
    private final FakeSharedStore store = new FakeSharedStore(time);
    private final VirtualInstances network = new VirtualInstances(time, store);
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> badMillis = new ArrayList<>();
    private final SplittableRandom random;
    private final String name;
    private final Fault fault;
    private final boolean isSlow;
    private final Trouble trouble;
    private long orderedMillis = -1;
    private long requests;
    private long exposed;
    private long lastExposedMillis;

    private Play(int seed, int count, Fault fault, boolean isSlow, Trouble trouble) {
      this.random = new SplittableRandom(seed);
      this.fault = fault;
      this.isSlow = isSlow;
      this.trouble = trouble;
      this.name = fault + ", slow " + isSlow + ", " + trouble + ", " + count + ", seed " + seed;
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
      store.put("order/" + SERVICE, "v2");
      requestsUntil(orderedMillis + 2_000);
      Instance leader = leader();
      strike(leader);
      requestsUntil(orderedMillis + DURATION_MILLIS - 4_000);
      store.failWith(trouble == Trouble.STORE_DOWN_AT_THE_END ? Kind.UNAVAILABLE : null);
      requestsUntil(orderedMillis + DURATION_MILLIS - 1_000);
      store.failWith(null);
      leader.process.cutFromOthers(false);
      leader.process.cutFromStore(false);
      requestsUntil(orderedMillis + DURATION_MILLIS + 12_000);
    }

    private void strike(Instance leader) {
      switch (trouble) {
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
        case NONE, STORE_DOWN_AT_THE_END -> {}
        default -> throw new IllegalStateException("unknown trouble " + trouble);
      }
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
      double each = REQUESTS_PER_SECOND_AND_INSTANCE * STEP_MILLIS / 1_000;
      while (nowMillis() < endMillis) {
        for (Instance instance : instances) {
          if (random.nextDouble() < each && !instance.process.isSuspended()) {
            request(instance);
          }
        }
        time.advance(STEP_MILLIS);
      }
    }

    private void request(Instance instance) {
      String route = ROUTES.get(random.nextInt(ROUTES.size()));
      VersionPolicy policy = instance.policy();
      boolean isTried = policy.isCanary("v2") && policy.wantsCanaryRequest(route);
      boolean isNew = isTried || !policy.mayUse("v1");
      policy.onPlaced(route, isNew ? "v2" : "v1");
      long sentMillis = nowMillis();
      if (orderedMillis >= 0 && sentMillis < orderedMillis + DURATION_MILLIS) {
        requests++;
        exposed += isNew ? 1 : 0;
      }
      lastExposedMillis = isNew ? sentMillis : lastExposedMillis;
      boolean isBad = isNew && fault.isBad(route, sentMillis - orderedMillis, random);
      double units = 5 + random.nextInt(40);
      double common = 20 * Math.exp(0.3 * gauss()) * units;
      double millis = isBad && isSlow ? 5 * common : common;
      Ending ending = isBad && !isSlow ? Ending.FAILED : Ending.ANSWERED;
      boolean isRareFailure = random.nextDouble() < 0.01;
      time.schedule(
          () -> {
            if (isBad) {
              badMillis.add(nowMillis());
            }
            instance.moves.onAttemptEnded(
                endpoint(isNew ? "v2" : "v1"),
                route,
                isRareFailure ? Ending.FAILED : ending,
                millis,
                units);
          },
          (long) millis);
    }

    private double gauss() {
      double sum = 0;
      for (int i = 0; i < 12; i++) {
        sum += random.nextDouble();
      }
      return sum - 6;
    }

    private String state() {
      return store.value(STATE).replaceAll(".* ", "");
    }

    private void assertBounds() {
      if (fault == Fault.NONE) {
        return;
      }
      assertWithMessage("%s: exposed of %s", name, requests)
          .that((double) exposed)
          .isAtMost(SHARE * requests + SLACK);
      if (badMillis.size() >= BAD_ANSWERS) {
        assertWithMessage("%s: last exposed", name)
            .that(lastExposedMillis)
            .isAtMost(badMillis.get(BAD_ANSWERS - 1) + ROLL_BACK_MILLIS);
      }
    }
  }

  private static Endpoint endpoint(String version) {
    return new Endpoint(
        version, SERVICE, Addresses.parse("127.0.0.1:1"), "z", version, 4, false, 0, -60_000, 0);
  }

  private static final class Instance extends VirtualInstance {
    private final RolloutCoordinator moves;

    private Instance(Play play, int index) {
      super(play.network, index, "domain-" + index % 3);
      blackboard
          .writerOf(OperatingBounds.ENTRY)
          .accept(
              new OperatingBounds(
                  0.2, 56, 10_000, 0.1, 0, 8_000, 3_000, 2_000, 2_000, 8_000, SHARE, SLACK));
      blackboard
          .writerOf(EndpointList.ENTRY)
          .accept(new EndpointList(List.of(endpoint("v1"), endpoint("v2")), true));
      moves =
          new RolloutCoordinator(
              process.store(),
              view,
              new Source(),
              blackboard,
              peers,
              id,
              index,
              () -> {},
              process,
              process,
              process::timeOfDayMillis);
      addHandler(PeerMessageKind.MOVE, moves::answer);
    }

    private VersionPolicy policy() {
      return moves.policy(SERVICE);
    }
  }

  private static final class Source implements DeploymentSource {
    @Override
    public String operatorPrefix() {
      return "order/";
    }

    @Override
    public String endpointPrefix() {
      return "endpoint/";
    }

    @Override
    public Optional<Catalog> catalog(Collection<StoreItem> operatorItems) {
      return Optional.empty();
    }

    @Override
    public Set<String> evacuatedDomains(Collection<StoreItem> operatorItems) {
      return Set.of();
    }

    @Override
    public Collection<VersionChange> versionOrders(Collection<StoreItem> operatorItems) {
      return operatorItems.stream()
          .map(item -> new VersionChange(SERVICE, item.text(), DURATION_MILLIS, item.revision()))
          .toList();
    }

    @Override
    public String rolloutPrefix() {
      return "state/";
    }

    @Override
    public String rolloutKey(String serviceName) {
      return "state/" + serviceName;
    }

    @Override
    public byte[] encodeRollout(String serviceName, String targetVersion, RolloutPhase phase) {
      return (targetVersion + " " + phase).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Optional<RolloutRecord> decodeRollout(StoreItem item) {
      String[] words = item.text().split(" ", 2);
      return Optional.of(
          new RolloutRecord(SERVICE, words[0], RolloutPhase.valueOf(words[1]), item.revision()));
    }

    @Override
    public Optional<Endpoint> endpoint(StoreItem registration, long nowNanos) {
      return Optional.empty();
    }
  }
}
