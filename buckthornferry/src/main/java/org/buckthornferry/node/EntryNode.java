package org.buckthornferry.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.Json;
import org.buckthornferry.config.Settings;
import org.buckthornferry.control.ControlLoop;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.http.HttpServer;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** One running entry instance. */
public final class EntryNode {
  private static final Logger LOG = Logger.getLogger(EntryNode.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long STORE_TIMEOUT_MILLIS = 1_000;
  private static final long WATCH_TIMEOUT_MILLIS = 20_000;
  private static final long WATCH_RETRY_MILLIS = 500;
  private static final int IO_THREADS = 2;
  private static final long IDLE_TIMEOUT_MILLIS = 120_000;

  private final Settings settings;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final EventLoopGroup eventLoops = new NioEventLoopGroup(IO_THREADS);
  private final HttpConnector connector = new HttpConnector(eventLoops, CONNECT_TIMEOUT_MILLIS);
  private final ControlLoop controlLoop =
      new ControlLoop(clock, failure -> LOG.error("control.task.failed", failure));
  private final EndpointSelection selection = new EndpointSelection();
  private final CallerHandler callerHandler;
  private final HttpServer callerServer;
  private final KeyValueStore store;
  private volatile boolean stopping;

  /** Creates an instance that does not run yet. */
  public EntryNode(Settings settings) {
    this.settings = settings;
    this.callerHandler = new CallerHandler(clock, controlLoop, this::begin);
    this.callerServer =
        new HttpServer(
            Addresses.parse(settings.callerAddress()),
            limits(settings.limits()),
            Optional.empty(),
            eventLoops,
            callerHandler);
    this.store =
        new HttpKeyValueStore(
            connector, Addresses.ofUrl(settings.storeUrl()), STORE_TIMEOUT_MILLIS);
  }

  /** Starts the instance; returns when its caller port is open. Fails when a port is in use. */
  public CompletableFuture<Void> start() {
    controlLoop.start(List.of());
    watchConfig(0);
    return callerServer
        .start()
        .thenAccept(
            port -> LOG.infof("instance.started id=%s port=%d", settings.instanceId(), port));
  }

  /** Stops the instance after running requests have ended or 10 seconds have passed. */
  public void stop() {
    stopping = true;
    callerHandler.stopAccepting();
    callerServer.stop();
    eventLoops.shutdownGracefully(100, 10_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    controlLoop.stop();
    LOG.infof("instance.stopped id=%s", settings.instanceId());
  }

  private static HttpLimits limits(Settings.Limits limits) {
    return new HttpLimits(
        limits.maxHeaderBytes(),
        Math.toIntExact(limits.maxBodyBytes()),
        limits.maxConnections(),
        IDLE_TIMEOUT_MILLIS);
  }

  private void begin(CallerRequest request, HttpExchange exchange) {
    new RequestFlow(request, exchange, connector, clock, controlLoop, selection).begin();
  }

  private void watchConfig(long afterVersion) {
    if (stopping) {
      return;
    }
    store
        .watch("config/current", afterVersion, WATCH_TIMEOUT_MILLIS)
        .whenComplete(
            (value, failure) -> {
              if (failure != null) {
                LOG.warnf("config.watch.failed reason=%s", failure.getMessage());
                eventLoops.schedule(
                    () -> watchConfig(afterVersion), WATCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              } else {
                value.ifPresent(this::apply);
                watchConfig(value.map(VersionedValue::version).orElse(afterVersion));
              }
            });
  }

  private void apply(VersionedValue value) {
    try {
      ConfigSnapshot snapshot = Json.MAPPER.readValue(value.value(), ConfigSnapshot.class);
      callerHandler.useCatalog(new RequestCatalog(snapshot));
      LOG.infof("config.applied revision=%d", snapshot.revision());
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }
}
