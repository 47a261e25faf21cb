package org.buckthornferry.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.standin.EndpointLog;
import org.buckthornferry.standin.EngineStats;
import org.jboss.logging.Logger;

/** Asks the stand-ins for their counters and logs; one that does not answer is left out. */
final class StandInQueries {
  private static final Logger LOG = Logger.getLogger(StandInQueries.class);
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final int MAX_ATTEMPTS = 10;
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final byte[] NO_BODY = {};

  private final HttpConnector connector;
  private final Scenario scenario;

  StandInQueries(HttpConnector connector, Scenario scenario) {
    this.connector = connector;
    this.scenario = scenario;
  }

  PrefillCount prefill() {
    PrefillCount sum = PrefillCount.ZERO;
    for (String address : scenario.engines()) {
      Optional<EngineStats> stats = get(address, "/admin/stats", EngineStats.class);
      if (stats.isPresent()) {
        sum =
            sum.plus(
                new PrefillCount(stats.get().prefillTokens(), stats.get().wastedPrefillTokens()));
      }
    }
    return sum;
  }

  /** Returns the logs of all endpoints without the requests that arrived before a time. */
  List<EndpointLog> logsSince(long fromMillis) {
    List<EndpointLog> logs = new ArrayList<>();
    for (List<String> addresses : List.of(scenario.engines(), scenario.services())) {
      for (String address : addresses) {
        get(address, "/admin/log", EndpointLog.class)
            .map(log -> since(log, fromMillis))
            .ifPresent(logs::add);
      }
    }
    return logs;
  }

  /** Returns the executions of all plain services by content hash. */
  Map<String, Integer> executions() {
    Map<String, Integer> sums = new HashMap<>();
    for (String address : scenario.services()) {
      get(address, "/executions", JsonNode.class)
          .map(node -> node.path("byContentHash").properties())
          .ifPresent(
              counts ->
                  counts.forEach(
                      count -> sums.merge(count.getKey(), count.getValue().asInt(), Integer::sum)));
    }
    return sums;
  }

  /** Asks several times, because an endpoint that failed closes its port for some seconds. */
  private <T> Optional<T> get(String address, String path, Class<T> type) {
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      try {
        return Optional.of(Json.MAPPER.readValue(fetch(address, path).body(), type));
      } catch (CompletionException | IOException e) {
        LOG.warnf("load.standin.unreachable address=%s path=%s reason=%s", address, path, e);
        LockSupport.parkNanos(RETRY_NANOS);
      }
    }
    return Optional.empty();
  }

  private HttpReply fetch(String address, String path) {
    return connector
        .exchange(Addresses.parse(address), "GET", path, Map.of(), NO_BODY, TIMEOUT_MILLIS)
        .join();
  }

  private static EndpointLog since(EndpointLog log, long fromMillis) {
    return new EndpointLog(
        log.endpointId(),
        log.failureDomain(),
        log.coldBound(),
        log.leavingSinceMillis(),
        log.dropped(),
        log.entries().stream().filter(entry -> entry.startMillis() >= fromMillis).toList());
  }
}
