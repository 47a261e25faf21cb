package org.buckthornferry.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.capacity.LoadSample;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.Json;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.endpoint.HealthController;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpFailure;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwnership;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** Polls the load reports of the endpoints whose shards this instance owns. */
final class EndpointMonitor implements Controller {
  private static final Logger LOG = Logger.getLogger(EndpointMonitor.class);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long POLL_TIMEOUT_MILLIS = 1_000;
  private static final byte[] NO_BODY = {};

  private final Blackboard blackboard;
  private final ShardOwnership ownership;
  private final HealthController health;
  private final ObservedBudgets budgets;
  private final HttpConnector connector;
  private final MonotonicClock clock;
  private final Executor controlThread;
  private final Map<String, Integer> consecutiveFailures = new HashMap<>();
  private final Set<String> pendingPolls = new HashSet<>();
  private long nextPollNanos;
  private boolean started;

  EndpointMonitor(
      Blackboard blackboard,
      ShardOwnership ownership,
      HealthController health,
      ObservedBudgets budgets,
      HttpConnector connector,
      MonotonicClock clock,
      Executor controlThread) {
    this.blackboard = blackboard;
    this.ownership = ownership;
    this.health = health;
    this.budgets = budgets;
    this.connector = connector;
    this.clock = clock;
    this.controlThread = controlThread;
  }

  @Override
  public void onTick(long nowNanos) {
    if (started && nowNanos - nextPollNanos < 0) {
      return;
    }
    started = true;
    nextPollNanos = nowNanos + POLL_INTERVAL_NANOS;
    ShardMap shards = blackboard.read(ShardMap.ENTRY);
    for (ServiceDeclaration service :
        blackboard.read(ConfigSnapshot.ENTRY).declarations().services()) {
      for (EndpointDeclaration endpoint : service.endpoints()) {
        int shard = shards.shardOf(endpoint.id());
        if (ownership.ownsNow(ShardKind.ENDPOINT, shard, nowNanos)) {
          poll(endpoint);
        }
      }
    }
  }

  @Override
  public Map<String, Object> dump() {
    return Map.of("failuresInRow", Map.copyOf(consecutiveFailures), "pending", pendingPolls.size());
  }

  private void poll(EndpointDeclaration endpoint) {
    if (!pendingPolls.add(endpoint.id())) {
      return;
    }
    InetSocketAddress address = Addresses.parse(endpoint.address());
    connector
        .exchange(address, "GET", "/load", Map.of(), NO_BODY, POLL_TIMEOUT_MILLIS)
        .whenCompleteAsync(
            (reply, failure) -> {
              pendingPolls.remove(endpoint.id());
              if (failure == null && reply.status() == 200) {
                consecutiveFailures.remove(endpoint.id());
                onReply(endpoint.id(), reply);
              } else {
                onFailure(endpoint.id(), failure);
              }
            },
            controlThread);
  }

  private void onReply(String endpointId, HttpReply reply) {
    try {
      JsonNode report = Json.MAPPER.readTree(reply.body());
      long nowNanos = clock.nanoTime();
      long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.path("ageMillis").asLong());
      int running = report.path("running").asInt() + report.path("waiting").asInt();
      double tokensPerSecond = report.path("tokensPerSecond").asDouble();
      double nanosPerToken =
          tokensPerSecond > 0 ? running * TimeUnit.SECONDS.toNanos(1) / tokensPerSecond : 0;
      budgets.onLoad(endpointId, new LoadSample(running, nowNanos - ageNanos));
      health.onReport(
          new LoadReport(
              endpointId,
              report.path("startId").asLong(),
              nowNanos - ageNanos,
              report.path("cold").asBoolean(),
              report.path("leaving").asBoolean(),
              running,
              report.path("completedTotal").asLong(),
              nanosPerToken),
          nowNanos);
    } catch (IOException | IllegalArgumentException e) {
      LOG.warnf("endpoint.report.unreadable endpoint=%s reason=%s", endpointId, e.getMessage());
    }
  }

  /** Treats a refused connection as a crash; after a timeout the endpoint may only be slow. */
  private void onFailure(String endpointId, Throwable failure) {
    consecutiveFailures.merge(endpointId, 1, Integer::sum);
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof HttpFailure known && !known.mayHaveReachedServer()) {
      health.onCrash(endpointId, clock.nanoTime());
    } else {
      health.onFailure(endpointId, clock.nanoTime());
    }
  }
}
