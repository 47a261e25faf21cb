package org.buckthornferry.node;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.buckthornferry.admission.ShedController;
import org.buckthornferry.capacity.CapacityController;
import org.buckthornferry.capacity.CapacitySettings;
import org.buckthornferry.capacity.GrantHolder;
import org.buckthornferry.config.ConfigController;
import org.buckthornferry.config.Settings;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.ControlLoop;
import org.buckthornferry.control.Controller;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.HealthController;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.Quarantine;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.membership.InstanceList;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.MembershipController;
import org.buckthornferry.membership.MembershipTimings;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.request.ClaimController;
import org.buckthornferry.request.ClaimSettings;
import org.buckthornferry.rollout.RolloutController;
import org.buckthornferry.routing.PeerHandover;
import org.buckthornferry.routing.RoutingController;
import org.buckthornferry.routing.RoutingDependencies;
import org.buckthornferry.routing.RoutingSettings;
import org.buckthornferry.shard.ShardController;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardSettings;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.util.MonotonicClock;

/** Creates all controllers of an instance and connects them through one blackboard. */
final class ControlPlane {
  private static final int MAX_PREFIX_ENTRIES = 100_000;
  private static final int PREFIX_BLOCK_TOKENS = 64;
  private static final int MAX_SUSPECTS = 256;
  private static final int RECORD_READ_MILLIS = 10_000;

  private final Blackboard blackboard = new Blackboard();
  private final MembershipController membership;
  private final ConfigController config;
  private final ShardController shards;
  private final EndpointMonitor monitor;
  private final HealthController health;
  private final Quarantine quarantine;
  private final ShedController shed;
  private final CapacityController capacity;
  private final RolloutController rollouts;
  private final ClaimController claims;
  private final RoutingController routing;
  private final RequestCoordinator coordinator;

  /** The services outside the control thread that the controllers call. */
  record Services(
      LocalInstance self,
      KeyValueStore store,
      InstanceList instanceList,
      PeerSender peers,
      HttpConnector connector,
      ControlLoop controlLoop,
      MonotonicClock clock,
      MetricRegistry metrics) {}

  ControlPlane(Settings settings, Services services) {
    String selfId = services.self.instanceId();
    long incarnation = services.self.incarnation();
    SplittableRandom random = new SplittableRandom(incarnation ^ selfId.hashCode());
    StoreReachability reachability = new StoreReachability(services.clock);
    membership =
        new MembershipController(
            services.self,
            membershipTimings(settings.timings()),
            blackboard,
            services.instanceList,
            services.peers,
            reachability,
            random.split());
    config =
        new ConfigController(
            services.self,
            blackboard,
            services.store,
            services.peers,
            reachability,
            random.split());
    shards =
        new ShardController(
            selfId,
            incarnation,
            shardSettings(settings),
            services.store,
            blackboard,
            services.peers,
            services.clock,
            System::currentTimeMillis,
            random.split());
    ObservedBudgets budgets = new ObservedBudgets(blackboard);
    health = new HealthController(selfId, blackboard, services.peers);
    monitor =
        new EndpointMonitor(
            blackboard,
            shards,
            health,
            budgets,
            services.connector,
            services.clock,
            services.controlLoop);
    quarantine =
        new Quarantine(selfId, settings.timings().quarantineMillis(), blackboard, services.peers);
    shed = new ShedController(selfId, incarnation, blackboard, services.peers);
    GrantHolder grants = new GrantHolder(settings.shardCount());
    capacity =
        new CapacityController(
            selfId,
            incarnation,
            capacitySettings(settings.timings()),
            grants,
            budgets,
            shards,
            blackboard,
            services.peers);
    rollouts =
        new RolloutController(
            blackboard,
            services.peers,
            services.store,
            this::leadsRollout,
            System::currentTimeMillis,
            services.controlLoop);
    claims =
        new ClaimController(
            selfId,
            incarnation,
            blackboard,
            services.peers,
            services.store,
            new ShardClaimOwnership(shards),
            services.clock,
            claimSettings(settings.timings()));
    coordinator =
        new RequestCoordinator(
            blackboard,
            claims,
            services.connector,
            services.clock,
            services.controlLoop,
            services.metrics);
    GrantLimits limits = new GrantLimits(grants);
    routing =
        new RoutingController(
            new RoutingSettings(
                settings.limits().maxQueueBytes(), PREFIX_BLOCK_TOKENS, MAX_SUSPECTS),
            new RoutingDependencies(
                blackboard,
                shed,
                health,
                quarantine,
                new CostEstimator(),
                new PrefixIndex(MAX_PREFIX_ENTRIES),
                limits,
                new RolloutGate(rollouts),
                PeerHandover.NONE,
                coordinator,
                limits));
    coordinator.setRouting(routing);
  }

  Blackboard blackboard() {
    return blackboard;
  }

  RequestCoordinator coordinator() {
    return coordinator;
  }

  /** Returns whether the configuration is ready, so that this instance may serve requests. */
  boolean isConfigured() {
    return config.isReady();
  }

  /** Returns the controllers in execution order: producers of state first, routing last. */
  List<Controller> controllers() {
    return List.of(
        membership,
        config,
        shards,
        monitor,
        health,
        quarantine,
        shed,
        capacity,
        rollouts,
        claims,
        routing,
        coordinator);
  }

  /** Announces that this instance leaves and releases its shards. */
  void leave(long nowNanos) {
    membership.announceLeaving();
    shards.releaseAll(nowNanos);
  }

  /** Returns the blackboard and the state of each controller by its class name. */
  Map<String, Object> dump() {
    Map<String, Object> controllerStates = new TreeMap<>();
    for (Controller controller : controllers()) {
      controllerStates.put(controller.getClass().getSimpleName(), controller.dump());
    }
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("blackboard", blackboard.snapshot());
    dump.put("controllers", controllerStates);
    return dump;
  }

  private boolean leadsRollout(String serviceId, long nowNanos) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    int shard = map.shardOf(RolloutController.leadershipKey(serviceId));
    return shards.ownsNow(ShardKind.ENDPOINT, shard, nowNanos);
  }

  private static MembershipTimings membershipTimings(Settings.Timings timings) {
    return new MembershipTimings(
        timings.heartbeatMillis(),
        timings.suspectMillis(),
        timings.deadMillis(),
        timings.instanceListPollMillis());
  }

  private static ShardSettings shardSettings(Settings settings) {
    return new ShardSettings(
        settings.shardCount(),
        settings.timings().leaseTtlMillis(),
        settings.timings().pauseBoundMillis(),
        settings.timings().claimWindowMillis(),
        RECORD_READ_MILLIS);
  }

  private static CapacitySettings capacitySettings(Settings.Timings timings) {
    return new CapacitySettings(
        timings.grantValidMillis(),
        timings.fallbackValidMillis(),
        timings.grantRequestMillis(),
        2 * timings.heartbeatMillis());
  }

  private static ClaimSettings claimSettings(Settings.Timings timings) {
    ClaimSettings defaults = ClaimSettings.DEFAULT;
    return new ClaimSettings(
        timings.claimWindowMillis(),
        timings.journalCommitMillis(),
        defaults.journalWaitMillis(),
        defaults.claimTimeoutMillis(),
        defaults.resendMillis(),
        defaults.backupWaitMillis(),
        defaults.maxClaims(),
        defaults.maxResponseBytes(),
        defaults.segmentRollBytes(),
        defaults.maxCommitBytes(),
        defaults.segmentRollMillis(),
        defaults.storeTimeoutMillis());
  }
}
