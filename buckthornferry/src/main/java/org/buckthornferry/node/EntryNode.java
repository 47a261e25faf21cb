package org.buckthornferry.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.Settings;
import org.buckthornferry.control.ControlLoop;
import org.buckthornferry.control.Controller;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.http.HttpServer;
import org.buckthornferry.membership.HttpInstanceList;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.Hello;
import org.buckthornferry.peer.PeerTls;
import org.buckthornferry.peer.PeerTransport;
import org.buckthornferry.store.ControlThreadStore;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** Runs one entry instance: its servers, its peer transport and its control loop. */
public final class EntryNode {
  private static final Logger LOG = Logger.getLogger(EntryNode.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long STORE_TIMEOUT_MILLIS = 1_000;
  private static final int IO_THREADS = 2;
  private static final long IDLE_TIMEOUT_MILLIS = 120_000;

  /** How long running requests may take to finish after a stop was requested. */
  private static final long MAX_DRAIN_MILLIS = 20_000;

  private static final long DRAIN_CHECK_MILLIS = 50;

  /** How long a stopping instance waits while its shards and its lease are released. */
  private static final long LEAVE_WAIT_MILLIS = 500;

  private final Settings settings;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLoopGroup eventLoops = new NioEventLoopGroup(IO_THREADS);
  private final HttpConnector connector = new HttpConnector(eventLoops, CONNECT_TIMEOUT_MILLIS);
  private final ControlLoop controlLoop =
      new ControlLoop(clock, failure -> LOG.error("control.task.failed", failure));
  private final ConcurrentHashMap<String, InetSocketAddress> peerAddresses =
      new ConcurrentHashMap<>();
  private final PeerTransport transport;
  private final ControlPlane controlPlane;
  private final CallerHandler callerHandler;
  private final HttpServer callerServer;
  private final HttpServer operatorServer;

  /**
   * Creates an instance that does not run yet.
   *
   * @throws IllegalArgumentException when a key file is unusable
   */
  public EntryNode(Settings settings) {
    this.settings = settings;
    LocalInstance self =
        new LocalInstance(
            settings.instanceId(),
            settings.peerAddress(),
            settings.failureDomain(),
            settings.region(),
            System.currentTimeMillis());
    this.transport = createTransport(self);
    this.controlPlane =
        new ControlPlane(
            settings,
            new ControlPlane.Services(
                self,
                new ControlThreadStore(
                    new HttpKeyValueStore(
                        connector, Addresses.ofUrl(settings.storeUrl()), STORE_TIMEOUT_MILLIS),
                    controlLoop),
                new HttpInstanceList(
                    connector, Addresses.ofUrl(settings.instanceListUrl()), controlLoop),
                transport,
                connector,
                controlLoop,
                clock,
                metrics));
    this.callerHandler = new CallerHandler(clock, controlLoop, controlPlane.coordinator()::begin);
    this.callerServer =
        new HttpServer(
            Addresses.parse(settings.callerAddress()),
            httpLimits(settings.limits()),
            settings.callerTls().map(EntryNode::callerTlsContext),
            eventLoops,
            callerHandler);
    this.operatorServer =
        new HttpServer(
            Addresses.parse(settings.operatorAddress()),
            HttpLimits.INTERNAL,
            settings.callerTls().map(EntryNode::callerTlsContext),
            eventLoops,
            new OperatorHandler(
                settings.operatorTokenSha256(),
                controlLoop,
                controlPlane,
                metrics,
                callerHandler::isReady,
                settings::instanceId));
  }

  /** Starts the instance. Completes when its ports are open and fails when a port is in use. */
  public CompletableFuture<Void> start() {
    Gauge<Integer> connections = callerServer::openConnections;
    metrics.register("callers.connections", connections);
    transport.start();
    List<Controller> controllers = new ArrayList<>(controlPlane.controllers());
    controllers.add(new Publication());
    controlLoop.start(controllers);
    return operatorServer
        .start()
        .thenCompose(operatorPort -> callerServer.start())
        .thenAccept(
            port -> LOG.infof("instance.started id=%s port=%d", settings.instanceId(), port));
  }

  /**
   * Stops the instance: rejects new requests, waits at most 20 seconds for running ones, releases
   * its shards and its lease, then closes its ports. Blocks until it has stopped.
   */
  public void stop() {
    LOG.infof("instance.stopping id=%s", settings.instanceId());
    callerHandler.stopAccepting();
    awaitIdle();
    runOnControlThread(() -> controlPlane.leave(clock.nanoTime()));
    sleep(LEAVE_WAIT_MILLIS);
    callerServer.stop();
    operatorServer.stop();
    transport.stop();
    eventLoops.shutdownGracefully(0, 2_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    controlLoop.stop();
    LOG.infof("instance.stopped id=%s", settings.instanceId());
  }

  private void awaitIdle() {
    long untilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS);
    while (clock.nanoTime() - untilNanos < 0) {
      int[] inFlight = new int[1];
      runOnControlThread(() -> inFlight[0] = controlPlane.coordinator().inFlight());
      if (inFlight[0] == 0) {
        return;
      }
      sleep(DRAIN_CHECK_MILLIS);
    }
    LOG.warnf("instance.drain.incomplete id=%s", settings.instanceId());
  }

  private void runOnControlThread(Runnable task) {
    CountDownLatch done = new CountDownLatch(1);
    controlLoop.execute(
        () -> {
          task.run();
          done.countDown();
        });
    try {
      if (!done.await(STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warn("control.thread.slow");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private PeerTransport createTransport(LocalInstance self) {
    return new PeerTransport(
        new Hello(self.instanceId(), self.incarnation(), self.failureDomain()),
        Addresses.parse(settings.peerAddress()),
        settings
            .peerTls()
            .map(
                files ->
                    new PeerTls(
                        Path.of(files.certificateFile()),
                        Path.of(files.keyFile()),
                        Path.of(files.trustFile()))),
        settings.allowPlaintext(),
        instanceId -> Optional.ofNullable(peerAddresses.get(instanceId)),
        controlLoop::deliver,
        metrics,
        clock,
        new SplittableRandom(self.incarnation()));
  }

  private static HttpLimits httpLimits(Settings.Limits limits) {
    return new HttpLimits(
        limits.maxHeaderBytes(),
        Math.toIntExact(limits.maxBodyBytes()),
        limits.maxConnections(),
        IDLE_TIMEOUT_MILLIS);
  }

  private static SslContext callerTlsContext(Settings.CallerTls files) {
    try {
      return SslContextBuilder.forServer(
              new File(files.certificateFile()), new File(files.keyFile()))
          .build();
    } catch (SSLException e) {
      throw new IllegalArgumentException("unusable key file: " + e.getMessage(), e);
    }
  }

  /** Publishes configuration and peer addresses from the control thread to the event loops. */
  private final class Publication implements Controller {
    private long publishedRevision;

    @Override
    public void onTick(long nowNanos) {
      MembershipView members = controlPlane.blackboard().read(MembershipView.ENTRY);
      for (Member member : members.members().values()) {
        peerAddresses.computeIfAbsent(
            member.instanceId(), id -> Addresses.parse(member.peerAddress()));
      }
      ConfigSnapshot config = controlPlane.blackboard().read(ConfigSnapshot.ENTRY);
      if (controlPlane.isConfigured() && config.revision() != publishedRevision) {
        publishedRevision = config.revision();
        callerHandler.setCatalog(new RequestCatalog(config));
        callerHandler.setDrained(config.declarations().isDrained(settings.failureDomain()));
      }
    }
  }
}
