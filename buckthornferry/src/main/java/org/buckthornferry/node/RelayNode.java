package org.buckthornferry.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.concurrency.CapacityModel;
import org.buckthornferry.concurrency.LimitPolicy;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.duty.UsageCounter;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.fleet.ChangeFeed;
import org.buckthornferry.fleet.ContentQuarantine;
import org.buckthornferry.fleet.DeploymentController;
import org.buckthornferry.fleet.DeploymentSource;
import org.buckthornferry.fleet.EndpointLimits;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.InstanceRegistry;
import org.buckthornferry.fleet.OperatingBounds;
import org.buckthornferry.fleet.PartQuarantine;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.fleet.PeerRpc;
import org.buckthornferry.fleet.ReaderWatch;
import org.buckthornferry.fleet.RolloutCoordinator;
import org.buckthornferry.fleet.SharedAllowances;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.fleet.ViewExchange;
import org.buckthornferry.fleetqueue.FleetQueue;
import org.buckthornferry.fleetqueue.QueueClients;
import org.buckthornferry.fleetqueue.QueueCoordinator;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.http.HttpServer;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.relay.CallerProtocol;
import org.buckthornferry.relay.EndpointProtocol;
import org.buckthornferry.relay.Relay;
import org.buckthornferry.scaling.DemandCounter;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.buckthornferry.util.SuspensionCountingClock;
import org.jboss.logging.Logger;

/**
 * Runs one instance that relays callers' requests to the endpoints of a deployment described in a
 * shared store. All of its components run on one event loop.
 */
public final class RelayNode {
  private static final Logger LOG = Logger.getLogger(RelayNode.class);

  /** The connect timeout, in milliseconds. It is short because all networks are local. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * How long a stopping instance keeps listening, in milliseconds. The platform removes it only
   * after two readiness checks that are one second apart.
   */
  private static final long LISTEN_AFTER_STOP_MILLIS = 2_600;

  /** The part of the grace period that is reserved for process exit, in milliseconds. */
  private static final long EXIT_MARGIN_MILLIS = 700;

  /** How long the last answers have to reach their callers, in milliseconds. */
  private static final long FLUSH_MILLIS = 200;

  /** How often a stopping instance checks for requests in progress, in milliseconds. */
  private static final long STOP_POLL_MILLIS = 50;

  private final RelayNodeSettings settings;
  private final MultithreadEventLoopGroup eventLoops =
      new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));
  private final EventLoop eventLoop = (EventLoop) eventLoops.next();
  private final Scheduler scheduler = this::schedule;
  private final Blackboard blackboard = new Blackboard();
  private final Consumer<OperatingBounds> boundsWriter = blackboard.writerOf(OperatingBounds.ENTRY);
  private final MetricRegistry registry = new MetricRegistry();
  private final Relay relay;
  private final DeploymentController deployment;
  private final InstanceRegistry instances;
  private final PeerRpc peers;
  private final RolloutCoordinator rollouts;
  private final EndpointLimits limits;
  private final QueueCoordinator queueCoordinator;
  private final QueueClients queueClients;
  private final StoreView storeView;
  private final ViewExchange viewExchange;
  private final DutyServices duties;
  private final HttpServer callerServer;
  private final List<HttpServer> servers = new ArrayList<>();
  private volatile boolean draining;
  private boolean wasReady;

  /**
   * Creates a node without duties that does not listen yet.
   *
   * @param store creates the client of the shared store from a connector
   */
  public RelayNode(
      RelayNodeSettings settings,
      Function<HttpConnector, SharedStore> store,
      DeploymentSource source,
      CallerProtocol callers,
      EndpointProtocol endpoints) {
    this(settings, Optional.empty(), store, source, callers, endpoints);
  }

  /**
   * Creates a node that does not listen yet.
   *
   * @param dutySettings the duties towards the platform, or empty for none
   * @param store creates the client of the shared store from a connector
   */
  public RelayNode(
      RelayNodeSettings settings,
      Optional<DutySettings> dutySettings,
      Function<HttpConnector, SharedStore> store,
      DeploymentSource source,
      CallerProtocol callers,
      EndpointProtocol endpoints) {
    this.settings = settings;
    boundsWriter.accept(settings.bounds());
    HttpConnector connector =
        new HttpConnector(eventLoops, CONNECT_TIMEOUT_MILLIS, settings.sourceAddress());
    SharedStore sharedStore = store.apply(connector);
    RandomGenerator random = new SplittableRandom();
    this.peers = new PeerRpc(settings.peerAddress(), eventLoops, scheduler);
    MonotonicClock viewClock =
        new SuspensionCountingClock(MonotonicClock.SYSTEM, System::currentTimeMillis);
    ReaderWatch readerWatch =
        new ReaderWatch(
            sharedStore,
            blackboard,
            peers,
            settings.instanceId(),
            settings.failureDomain(),
            viewClock);
    this.storeView =
        new StoreView(sharedStore, readerWatch, source::supersedes, scheduler, viewClock, random);
    ContentQuarantine quarantine =
        new ContentQuarantine(
            sharedStore,
            storeView,
            blackboard,
            peers,
            settings.instanceId(),
            scheduler,
            MonotonicClock.SYSTEM,
            System::currentTimeMillis);
    peers.addHandler(PeerMessageKind.CRASHES, quarantine::answer);
    PartQuarantine partQuarantine =
        new PartQuarantine(
            sharedStore,
            storeView,
            blackboard,
            peers,
            settings.instanceId(),
            scheduler,
            viewClock,
            registry);
    peers.addHandler(PeerMessageKind.PARTS, partQuarantine::answer);
    this.rollouts =
        new RolloutCoordinator(
            storeView,
            source,
            blackboard,
            peers,
            settings.instanceId(),
            random.nextLong(),
            this::refreshRelay,
            scheduler,
            MonotonicClock.SYSTEM,
            System::currentTimeMillis);
    peers.addHandler(PeerMessageKind.MOVE, rollouts::answer);
    this.limits =
        new EndpointLimits(
            blackboard, peers, settings.instanceId(), scheduler, viewClock, registry);
    peers.addHandler(PeerMessageKind.LIMIT, limits::answer);
    long incarnation = random.nextLong();
    this.queueCoordinator =
        new QueueCoordinator(
            blackboard,
            peers,
            settings.instanceId(),
            incarnation,
            this::fleetQueue,
            scheduler,
            MonotonicClock.SYSTEM,
            registry);
    peers.addHandler(PeerMessageKind.QUEUE, queueCoordinator::answer);
    this.queueClients =
        new QueueClients(
            blackboard,
            peers,
            settings.instanceId(),
            incarnation,
            queueCoordinator,
            scheduler,
            MonotonicClock.SYSTEM);
    peers.addHandler(PeerMessageKind.QUEUE_DECISIONS, queueClients::answer);
    UsageCounter usageCounter = DutyServices.counter(dutySettings);
    DemandCounter demandCounter = new DemandCounter(MonotonicClock.SYSTEM);
    this.duties =
        new DutyServices(
            dutySettings,
            usageCounter,
            demandCounter,
            sharedStore,
            storeView,
            blackboard,
            peers,
            connector,
            settings.instanceId(),
            settings.failureDomain(),
            registry,
            scheduler,
            viewClock,
            random);
    SharedAllowances allowances =
        new SharedAllowances(blackboard, peers, settings.instanceId(), MonotonicClock.SYSTEM);
    this.relay =
        new Relay(
            blackboard,
            allowances,
            quarantine,
            partQuarantine,
            rollouts,
            limits,
            usageCounter,
            demandCounter,
            connector,
            callers,
            endpoints,
            scheduler,
            MonotonicClock.SYSTEM,
            registry,
            queueClients::create,
            settings.instanceId(),
            settings.failureDomain(),
            random);
    ChangeFeed changeFeed = new ChangeFeed(storeView, scheduler, viewClock);
    peers.addAsyncHandler(PeerMessageKind.CHANGES, changeFeed::answer);
    this.deployment =
        new DeploymentController(
            storeView, source, blackboard, this::refreshRelay, scheduler, MonotonicClock.SYSTEM);
    this.instances =
        new InstanceRegistry(
            sharedStore,
            storeView,
            settings.instanceId(),
            settings.peerAddress(),
            settings.forwardAddress(),
            settings.failureDomain(),
            settings.processorShare(),
            blackboard,
            this::refreshRelay,
            scheduler,
            MonotonicClock.SYSTEM,
            random);
    this.viewExchange = new ViewExchange(peers, storeView, this::otherInstances, scheduler, random);
    peers.addHandler(PeerMessageKind.VIEW, viewExchange::answer);
    peers.addHandler(PeerMessageKind.ALLOWANCE, allowances::answer);
    this.callerServer =
        new HttpServer(
            settings.callerAddress(),
            () -> blackboard.read(Catalog.ENTRY).limits(),
            Optional.empty(),
            eventLoops,
            this::onCallerRequest);
    servers.add(callerServer);
    if (!settings.readinessAddress().equals(settings.callerAddress())) {
      servers.add(internalServer(settings.readinessAddress()));
    }
    settings.metricsAddress().ifPresent(address -> servers.add(internalServer(address)));
    settings.forwardAddress().ifPresent(address -> servers.add(forwardServer(address)));
  }

  /** Starts listening and watching the store. Fails when an address cannot be bound. */
  public CompletableFuture<Void> start() {
    LOG.infof(
        "instance.starting id=%s domain=%s address=%s",
        settings.instanceId(), settings.failureDomain(), settings.callerAddress());
    eventLoop.execute(
        () -> {
          storeView.start();
          relay.start();
          limits.start();
          instances.start();
          viewExchange.start();
          duties.start();
        });
    List<CompletableFuture<?>> started = new ArrayList<>();
    started.add(peers.start());
    servers.forEach(server -> started.add(server.start()));
    return CompletableFuture.allOf(started.toArray(new CompletableFuture<?>[0]));
  }

  /** Applies operating bounds that have changed in the settings. */
  public void reload(OperatingBounds bounds) {
    eventLoop.execute(
        () -> {
          LOG.infof("settings.reloaded bounds=\"%s\"", bounds);
          boundsWriter.accept(bounds);
        });
  }

  /**
   * Shuts down gracefully: reports that it is not ready, finishes the requests in progress and
   * closes connections once no further request can arrive.
   *
   * @return a future that completes when no request is in progress or the grace period has ended
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    draining = true;
    callerServer.drain();
    eventLoop.execute(
        () -> {
          LOG.infof("instance.stopping inProgress=%d", relay.inProgress());
          relay.stopForwarding();
          duties.release();
          var unused =
              instances
                  .stop()
                  .exceptionally(
                      failure -> {
                        LOG.infof("instance.deregistration_failed reason=%s", failure.getMessage());
                        return null;
                      });
          schedule(() -> finish(stopped, LISTEN_AFTER_STOP_MILLIS), LISTEN_AFTER_STOP_MILLIS);
        });
    return stopped;
  }

  private void finish(CompletableFuture<Void> stopped, long elapsedMillis) {
    relay.close();
    callerServer.closeIdleConnections();
    long limitMillis = settings.bounds().graceMillis() - EXIT_MARGIN_MILLIS;
    if (relay.inProgress() > 0 && elapsedMillis < limitMillis) {
      schedule(() -> finish(stopped, elapsedMillis + STOP_POLL_MILLIS), STOP_POLL_MILLIS);
      return;
    }
    storeView.stop();
    viewExchange.stop();
    limits.stop();
    duties.stop();
    queueCoordinator.stop();
    peers.stop();
    LOG.infof("instance.stopped inProgress=%d elapsedMillis=%d", relay.inProgress(), elapsedMillis);
    relay.endRequests();
    schedule(() -> stopped.complete(null), FLUSH_MILLIS);
  }

  private FleetQueue fleetQueue(String serviceName) {
    return new FleetQueue(
        new CapacityModel(LimitPolicy.LEARNED),
        rollouts.policy(serviceName),
        blackboard
            .read(Catalog.ENTRY)
            .service(serviceName)
            .flatMap(Service::reservations)
            .isPresent(),
        new SplittableRandom());
  }

  private void refreshRelay() {
    relay.refresh();
    queueCoordinator.refresh();
    queueClients.refresh();
  }

  private List<InetSocketAddress> otherInstances() {
    Set<InetSocketAddress> addresses =
        new LinkedHashSet<>(blackboard.read(FleetView.ENTRY).listed().values());
    addresses.addAll(settings.seeds());
    addresses.remove(settings.peerAddress());
    return List.copyOf(addresses);
  }

  private HttpServer internalServer(InetSocketAddress address) {
    return new HttpServer(
        address, HttpLimits.INTERNAL, Optional.empty(), eventLoops, this::onInternalRequest);
  }

  /** Requests of other instances have the fields of their callers and some more. */
  private HttpServer forwardServer(InetSocketAddress address) {
    return new HttpServer(
        address,
        () -> blackboard.read(Catalog.ENTRY).limits().forForwarding(),
        Optional.empty(),
        eventLoops,
        relay.forwardHandler());
  }

  private void onCallerRequest(HttpExchange exchange) {
    if (exchange.rawUri().equals(settings.readinessPath())
        && settings.readinessAddress().equals(settings.callerAddress())) {
      onInternalRequest(exchange);
    } else {
      relay.handle(exchange);
    }
  }

  private void onInternalRequest(HttpExchange exchange) {
    String path = exchange.path();
    if (path.equals(settings.readinessPath())) {
      answerReadiness(exchange);
    } else if (path.equals("/metrics")) {
      exchange.respond(
          200,
          Map.of("Content-Type", "text/plain; version=0.0.4"),
          MetricsText.write(registry).getBytes(StandardCharsets.UTF_8));
    } else if (path.equals("/dump")) {
      exchange.respondJson(200, describe());
    } else {
      ProblemDocument.of(new RequestException(ErrorKind.UNKNOWN_ROUTE, path)).sendTo(exchange);
    }
  }

  private void answerReadiness(HttpExchange exchange) {
    boolean ready = !draining && deployment.isReady();
    if (ready != wasReady) {
      wasReady = ready;
      LOG.infof("readiness.changed ready=%s draining=%s", ready, draining);
    }
    exchange.respondJson(ready ? 200 : 503, "{\"ready\":" + ready + "}");
  }

  private String describe() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("configVersion", blackboard.read(Catalog.ENTRY).version());
    node.put("storeReachable", storeView.isReachable());
    node.put("inProgress", relay.inProgress());
    rollouts.describe().forEach((service, line) -> node.put("move " + service, line));
    relay
        .describe()
        .forEach(
            (service, lines) -> {
              var list = node.putArray(service);
              lines.forEach(list::add);
            });
    return node.toString();
  }

  private Scheduler.Task schedule(Runnable task, long delayMillis) {
    var scheduled =
        eventLoop.schedule(withFailureLogging(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private static Runnable withFailureLogging(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.errorf(e, "task.failed");
      }
    };
  }
}
