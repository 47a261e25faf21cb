package org.buckthornferry.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.buckthornferry.admission.ShedController;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.HealthController;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.Quarantine;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.junit.jupiter.api.Test;

class RoutingControllerTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** One instance with fake concurrency limits and a dispatcher that records every call. */
  private static final class Fixture implements Dispatcher, ConcurrencyLimits {
    final Blackboard blackboard = new Blackboard();
    final HealthController health;
    final RoutingController routing;
    final List<Controller> controllers;
    final Consumer<ConfigSnapshot> config;
    final Map<String, String> running = new HashMap<>();
    final Map<String, Integer> dispatches = new HashMap<>();
    final Map<String, Integer> refusals = new HashMap<>();
    final Map<String, RequestException> reasons = new HashMap<>();
    final Map<String, Integer> handovers = new HashMap<>();
    final Set<String> moved = new HashSet<>();
    final Map<String, Integer> used = new HashMap<>();
    long now = MILLI;
    int limit = 2;
    boolean peerAccepts;

    Fixture(long maxQueueBytes) {
      Member self =
          new Member("self", "127.0.0.1:1", "kol-a", "kol", 1, 0, MemberState.ALIVE, true, 0);
      blackboard
          .writerOf(MembershipView.ENTRY)
          .accept(new MembershipView("self", Map.of("self", self), Set.of()));
      ShardMap shards =
          new ShardMap(1, Map.of(ShardKind.ENDPOINT, Map.of(0, new ShardOwner("self", 1, 1))));
      blackboard.writerOf(ShardMap.ENTRY).accept(shards);
      config = blackboard.writerOf(ConfigSnapshot.ENTRY);
      config.accept(snapshot(1, false));
      ShedController shed = new ShedController("self", 1, blackboard, (to, message) -> {});
      health = new HealthController("self", blackboard, (to, message) -> {});
      Quarantine quarantine = new Quarantine("self", 600_000, blackboard, (to, message) -> {});
      routing =
          new RoutingController(
              new RoutingSettings(maxQueueBytes, 64, 8),
              new RoutingDependencies(
                  blackboard,
                  shed,
                  health,
                  quarantine,
                  new CostEstimator(),
                  new PrefixIndex(100),
                  this,
                  VersionGate.OPEN,
                  (request, atNanos) -> {
                    if (peerAccepts) {
                      handovers.merge(request.requestId(), 1, Integer::sum);
                    }
                    return peerAccepts;
                  },
                  this,
                  DemandListener.NONE));
      controllers = List.of(shed, health, quarantine, routing);
      for (int i = 0; i < 60; i++) {
        step();
      }
      for (int i = 0; i < 4; i++) {
        health.onReport(new LoadReport("e" + i, 1, now, false, false, 0, 100, 0), now);
      }
      step();
    }

    void step() {
      now += 10 * MILLI;
      controllers.forEach(controller -> controller.onTick(now));
    }

    void end(String requestId, RequestOutcome.Kind kind) {
      running.remove(requestId);
      routing.onCompleted(requestId, new RequestOutcome(kind, 10, 0, 10, MILLI, 5 * MILLI), now);
    }

    @Override
    public void dispatch(PendingRequest request, String endpointId) {
      assertThat(running.put(request.requestId(), endpointId)).isNull();
      dispatches.merge(request.requestId(), 1, Integer::sum);
    }

    @Override
    public void refuse(PendingRequest request, RequestException reason) {
      refusals.merge(request.requestId(), 1, Integer::sum);
      reasons.put(request.requestId(), reason);
    }

    @Override
    public void move(PendingRequest request, String endpointId) {
      assertThat(moved.add(request.requestId())).isTrue();
    }

    @Override
    public int available(String endpointId, long nowNanos) {
      return limit - used.getOrDefault(endpointId, 0);
    }

    @Override
    public boolean tryAcquire(String endpointId, long nowNanos) {
      if (available(endpointId, nowNanos) <= 0) {
        return false;
      }
      used.merge(endpointId, 1, Integer::sum);
      return true;
    }

    @Override
    public void release(String endpointId, long nowNanos) {
      assertThat(used.merge(endpointId, -1, Integer::sum)).isAtLeast(0);
    }
  }

  private static ConfigSnapshot snapshot(long revision, boolean drained) {
    List<EndpointDeclaration> endpoints = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String domain = i < 2 ? "kol-a" : "kol-b";
      endpoints.add(
          new EndpointDeclaration("e" + i, "127.0.0.1:1", domain, "v1", "gen1", 8, 2, true));
    }
    ServiceDeclaration service =
        new ServiceDeclaration(
            "model",
            ServiceKind.MODEL,
            "v1",
            List.of(new RouteDeclaration("/q", Tier.CRITICAL, true, 10, 10)),
            List.of(
                new TierDeclaration(Tier.CRITICAL, 2_000, 1_000),
                new TierDeclaration(Tier.STANDARD, 2_000, 1_000),
                new TierDeclaration(Tier.BULK, 2_000, 1_000)),
            endpoints,
            Optional.empty());
    return new ConfigSnapshot(
        revision,
        "a" + revision,
        new Declarations(
            List.of(
                new FailureDomainDeclaration("kol-a", "kol", drained),
                new FailureDomainDeclaration("kol-b", "kol", false)),
            List.of(),
            List.of(service)));
  }

  private static PendingRequest request(String id, Tier tier, long now, long deadlineMillis) {
    return new PendingRequest(
        id,
        "model",
        "/q",
        tier,
        "customer",
        1,
        "hash-" + id,
        List.of(),
        10,
        100,
        now,
        now + deadlineMillis * MILLI,
        false);
  }

  /**
   * Guards against requests that are dispatched twice, answered twice or never answered. Only an
   * explicit refusal by the endpoint allows another dispatch or a refusal.
   */
  @Property(seed = "51", tries = 300)
  void everyRequestIsDispatchedOrRefusedOnce(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fixture fixture = new Fixture(1_500);
    fixture.limit = random.nextInt(3);
    fixture.peerAccepts = random.nextBoolean();
    Map<String, Integer> endpointRefusals = new HashMap<>();
    Set<String> cancelled = new HashSet<>();
    int count = 0;
    for (int step = 0; step < 150; step++) {
      for (int i = random.nextInt(3); i > 0; i--) {
        Tier tier = List.of(Tier.values()).get(random.nextInt(3));
        fixture.routing.submit(
            request("r" + count++, tier, fixture.now, 200 + random.nextInt(2_000)), fixture.now);
      }
      for (String id : List.copyOf(fixture.running.keySet())) {
        if (random.nextInt(3) == 0) {
          RequestOutcome.Kind kind =
              random.nextInt(10) < 7
                  ? RequestOutcome.Kind.SUCCEEDED
                  : List.of(RequestOutcome.Kind.values()).get(random.nextInt(5));
          if (kind == RequestOutcome.Kind.REFUSED) {
            endpointRefusals.merge(id, 1, Integer::sum);
          }
          fixture.end(id, kind);
        }
      }
      if (count > 0 && random.nextInt(10) == 0) {
        String id = "r" + random.nextInt(count);
        cancelled.add(id);
        fixture.routing.onCancelled(id, fixture.now);
      }
      fixture.step();
    }
    // Every request that still waits ends within the maximum wait and its deadline.
    for (int step = 0; step < 500; step++) {
      fixture.step();
      List.copyOf(fixture.running.keySet())
          .forEach(id -> fixture.end(id, RequestOutcome.Kind.SUCCEEDED));
    }
    for (int i = 0; i < count; i++) {
      String id = "r" + i;
      int allowed = 1 + endpointRefusals.getOrDefault(id, 0);
      int dispatches = fixture.dispatches.getOrDefault(id, 0);
      int refusals = fixture.refusals.getOrDefault(id, 0);
      int handovers = fixture.handovers.getOrDefault(id, 0);
      assertWithMessage("dispatches of %s", id).that(dispatches).isAtMost(allowed);
      int ends = dispatches - endpointRefusals.getOrDefault(id, 0) + refusals + handovers;
      assertWithMessage("ends of %s", id).that(ends).isAtMost(1);
      if (!cancelled.contains(id)) {
        assertWithMessage("ends of %s", id).that(ends).isEqualTo(1);
      }
    }
    assertThat(fixture.routing.waitingCount("model")).isEqualTo(0);
  }

  /**
   * Guards against new requests in a drained failure domain and running ones that are not moved.
   */
  @Test
  void drainedDomainGetsNoNewRequestsAndItsRunningRequestsAreMoved() {
    Fixture fixture = new Fixture(10_000);
    for (int i = 0; i < 8; i++) {
      fixture.routing.submit(request("r" + i, Tier.STANDARD, fixture.now, 2_000), fixture.now);
    }
    assertThat(fixture.running).hasSize(8);
    fixture.config.accept(snapshot(2, true));
    fixture.step();
    assertThat(fixture.moved).hasSize(4);
    List.copyOf(fixture.running.keySet())
        .forEach(id -> fixture.end(id, RequestOutcome.Kind.SUCCEEDED));
    for (int i = 8; i < 20; i++) {
      fixture.routing.submit(request("r" + i, Tier.STANDARD, fixture.now, 2_000), fixture.now);
    }
    assertThat(new HashSet<>(fixture.running.values())).containsExactly("e2", "e3");
  }

  /** Guards against queueing a request that cannot meet its deadline. */
  @Test
  void refusesAtOnceRequestThatCannotMeetItsDeadline() {
    Fixture fixture = new Fixture(10_000);
    fixture.routing.submit(request("late", Tier.STANDARD, fixture.now, 1), fixture.now);
    assertThat(fixture.reasons.get("late").kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    fixture.routing.submit(request("critical", Tier.CRITICAL, fixture.now, 1), fixture.now);
    assertThat(fixture.running).containsKey("critical");
  }

  /** Guards against refusing a critical request during an outage before its maximum wait. */
  @Test
  void criticalRequestWaitsDuringAnOutage() {
    Fixture fixture = new Fixture(10_000);
    fixture.limit = 0;
    fixture.routing.submit(request("c", Tier.CRITICAL, fixture.now, 10), fixture.now);
    for (int i = 0; i < 90; i++) {
      fixture.step();
    }
    assertThat(fixture.refusals).isEmpty();
    fixture.limit = 1;
    fixture.step();
    assertThat(fixture.running).containsKey("c");
  }

  /**
   * Guards against running other requests beside a suspect and against quarantining innocent ones.
   */
  @Test
  void crashedContentRunsAloneAndIsQuarantinedWhenItCrashesAgain() {
    Fixture fixture = new Fixture(10_000);
    fixture.routing.submit(request("bad", Tier.STANDARD, fixture.now, 90_000), fixture.now);
    fixture.end("bad", RequestOutcome.Kind.CRASHED);
    fixture.step();
    fixture.routing.submit(request("bad", Tier.STANDARD, fixture.now, 90_000), fixture.now);
    for (int i = 0; i < 3; i++) {
      fixture.step();
    }
    String endpointId = fixture.running.get("bad");
    for (int i = 0; i < 10; i++) {
      fixture.routing.submit(request("g" + i, Tier.STANDARD, fixture.now, 90_000), fixture.now);
    }
    assertThat(java.util.Collections.frequency(fixture.running.values(), endpointId)).isEqualTo(1);
    fixture.end("bad", RequestOutcome.Kind.CRASHED);
    fixture.routing.submit(request("bad", Tier.STANDARD, fixture.now, 90_000), fixture.now);
    assertThat(fixture.reasons.get("bad").kind()).isEqualTo(ErrorKind.QUARANTINED);
    assertThat(fixture.reasons).hasSize(1);
  }
}
