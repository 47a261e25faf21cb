package org.buckthornferry.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.buckthornferry.store.InMemoryKeyValueStore;

/** Simulates several rollout controllers with a lossy network, a store and a stream of requests. */
final class RolloutFleet {
  static final String SERVICE = "assistant";
  static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  static final long REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The simulated behaviour of the new version. */
  interface NewVersion {
    /** Returns the probability that a request fails. */
    double failureRate(long nowMillis, String route, int running);

    /** Returns the factor on the latency of the old version. */
    default double slowFactor(long nowMillis) {
      return 1;
    }
  }

  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime == 0 ? Long.compare(order, other.order) : byTime;
    }
  }

  private final Random random;
  private final NewVersion newVersion;
  private final double lossRate;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<RolloutController> controllers = new ArrayList<>();
  private final List<Blackboard> blackboards = new ArrayList<>();
  private long eventCount;
  private long nowNanos;
  private int newRunning;
  int newRequests;
  int newFailed;
  int requests;
  long firstRollbackMillis = -1;
  long lastNewDispatchMillis = -1;
  boolean[] stopped;

  RolloutFleet(
      long seed, int instances, long moveByMillis, double lossRate, NewVersion newVersion) {
    this.random = new Random(seed);
    this.newVersion = newVersion;
    this.lossRate = lossRate;
    this.stopped = new boolean[instances];
    InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> nowNanos);
    for (int i = 0; i < instances; i++) {
      Blackboard blackboard = new Blackboard();
      blackboard.writerOf(ConfigSnapshot.ENTRY).accept(config(moveByMillis));
      blackboard.writerOf(MembershipView.ENTRY).accept(members(i, instances));
      blackboard.writerOf(ShardMap.ENTRY).accept(leaderIsFirst());
      blackboards.add(blackboard);
      int self = i;
      controllers.add(
          new RolloutController(
              blackboard,
              (to, message) -> send(self, to, message),
              store,
              (service, now) -> self == 0,
              this::nowMillis,
              Runnable::run));
    }
  }

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos);
  }

  RolloutPhase phase(int instance) {
    return blackboards.get(instance).read(RolloutState.ENTRY).get(SERVICE).phase();
  }

  /** Runs until a time with the given number of requests per tick over all instances. */
  void runUntil(long untilMillis, double requestsPerTick) {
    while (nowMillis() < untilMillis) {
      nowNanos += TICK_NANOS;
      while (!events.isEmpty() && events.peek().atNanos <= nowNanos) {
        events.poll().action.run();
      }
      for (int i = 0; i < controllers.size(); i++) {
        if (!stopped[i]) {
          controllers.get(i).onTick(nowNanos);
        }
      }
      int count = (int) requestsPerTick + (random.nextDouble() < requestsPerTick % 1 ? 1 : 0);
      for (int i = 0; i < count; i++) {
        request();
      }
    }
  }

  private void request() {
    RolloutController controller = controllers.get(random.nextInt(controllers.size()));
    String version =
        controller
            .preferredVersion(SERVICE)
            .orElse(controller.mayDispatch(SERVICE, "v2") ? "v2" : "v1");
    String route = random.nextInt(4) == 0 ? "/review" : "/agreement";
    boolean isNew = version.equals("v2");
    controller.dispatched(SERVICE, version);
    requests++;
    double failureRate = 0.001;
    double latency = 0.7 + 0.6 * random.nextDouble();
    if (isNew) {
      newRequests++;
      newRunning++;
      lastNewDispatchMillis = nowMillis();
      failureRate = newVersion.failureRate(nowMillis(), route, newRunning);
      latency *= newVersion.slowFactor(nowMillis());
    }
    boolean failed = random.nextDouble() < failureRate;
    double latencyNanos = latency * REQUEST_NANOS;
    schedule((long) latencyNanos, () -> complete(controller, version, route, failed, latencyNanos));
  }

  private void complete(
      RolloutController controller,
      String version,
      String route,
      boolean failed,
      double latencyNanos) {
    if (version.equals("v2")) {
      newRunning--;
      if (failed) {
        newFailed++;
      }
    }
    controller.completed(new CompletedRequest(SERVICE, version, route, failed, latencyNanos));
    if (firstRollbackMillis < 0 && anyRolledBack()) {
      firstRollbackMillis = nowMillis();
    }
  }

  private boolean anyRolledBack() {
    for (int i = 0; i < controllers.size(); i++) {
      Map<String, RolloutState> states = blackboards.get(i).read(RolloutState.ENTRY);
      if (states.containsKey(SERVICE) && phase(i) == RolloutPhase.TAKEN_BACK) {
        return true;
      }
    }
    return false;
  }

  private void send(int from, String to, PeerMessage message) {
    int target = Integer.parseInt(to);
    int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      schedule(
          TimeUnit.MICROSECONDS.toNanos(500 + random.nextInt(20_000)),
          () -> {
            if (!stopped[target] && !stopped[from]) {
              controllers.get(target).onMessage(Integer.toString(from), message, nowNanos);
            }
          });
    }
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, eventCount++, action));
  }

  private static ShardMap leaderIsFirst() {
    ShardMap empty = new ShardMap(1, Map.of());
    int shard = empty.shardOf(RolloutController.leadershipKey(SERVICE));
    return new ShardMap(1, Map.of(ShardKind.ENDPOINT, Map.of(shard, new ShardOwner("0", 1, 1))));
  }

  private static MembershipView members(int self, int count) {
    TreeMap<String, Member> members = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      String id = Integer.toString(i);
      members.put(
          id, new Member(id, "127.0.0.1:1", "kol-a", "kolkata", 1, 0, MemberState.ALIVE, true, 0));
    }
    return new MembershipView(Integer.toString(self), members, java.util.Set.of());
  }

  private static ConfigSnapshot config(long moveByMillis) {
    RolloutDeclaration rollout =
        new RolloutDeclaration(
            "v1",
            "v2",
            Instant.ofEpochMilli(moveByMillis),
            List.of(0.02, 0.1, 0.3, 1.0),
            0.05,
            2.0);
    ServiceDeclaration service =
        new ServiceDeclaration(
            SERVICE,
            ServiceKind.MODEL,
            "v1",
            List.of(
                new RouteDeclaration("/agreement", Tier.CRITICAL, true, 100, 100),
                new RouteDeclaration("/review", Tier.BULK, true, 100, 100)),
            List.of(new TierDeclaration(Tier.CRITICAL, 1_000, 1_000)),
            List.of(
                new EndpointDeclaration("e1", "127.0.0.1:1", "kol-a", "v1", "g1", 8, 2, true),
                new EndpointDeclaration("e2", "127.0.0.1:2", "kol-a", "v2", "g1", 8, 2, true)),
            Optional.of(rollout));
    return new ConfigSnapshot(1, "a", new Declarations(List.of(), List.of(), List.of(service)));
  }
}
