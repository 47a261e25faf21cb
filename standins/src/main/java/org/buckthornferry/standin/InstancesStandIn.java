package org.buckthornferry.standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.util.MonotonicClock;

/** Stand-in of the platform's instance list, which lags. */
final class InstancesStandIn implements StandIn {
  private static final String ADMIN_PATH = "/admin/instances/";
  private static final int MAX_STATES = 10_000;

  private final MonotonicClock clock;
  private final FaultSwitch<InstancesFaults> faults;
  private final Deque<State> states = new ArrayDeque<>();

  private record State(long sinceNanos, Map<String, InstanceEntry> instances) {}

  InstancesStandIn(MonotonicClock clock, long lagMillis) {
    this.clock = clock;
    this.faults = new FaultSwitch<>(InstancesFaults.class, new InstancesFaults(false, lagMillis));
    states.addLast(new State(clock.nanoTime(), Map.of()));
  }

  @Override
  public FaultSwitch<InstancesFaults> faults() {
    return faults;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (exchange.path().equals("/v1/instances")) {
      list(exchange);
    } else if (exchange.path().startsWith(ADMIN_PATH)) {
      admin(exchange, exchange.path().substring(ADMIN_PATH.length()));
    } else {
      Replies.error(exchange, 404, "unknown path");
    }
  }

  private void list(HttpExchange exchange) {
    if (faults.current().outage()) {
      Replies.error(exchange, 503, "outage");
      return;
    }
    Replies.json(exchange, 200, Map.of("instances", List.copyOf(visible().values())));
  }

  private void admin(HttpExchange exchange, String instanceId) {
    switch (exchange.method()) {
      case "PUT" -> put(exchange, instanceId);
      case "DELETE" -> {
        change(instances -> instances.remove(instanceId));
        Replies.json(exchange, 200, Map.of());
      }
      default -> Replies.error(exchange, 405, "PUT or DELETE");
    }
  }

  private void put(HttpExchange exchange, String instanceId) {
    InstanceEntry entry;
    try {
      entry = Json.MAPPER.readValue(exchange.body(), InstanceEntry.class);
    } catch (IOException e) {
      Replies.error(exchange, 400, "malformed instance: " + e.getMessage());
      return;
    }
    if (!entry.instanceId().equals(instanceId)) {
      Replies.error(exchange, 400, "instanceId differs from the path");
      return;
    }
    change(instances -> instances.put(instanceId, entry));
    Replies.json(exchange, 200, entry);
  }

  private synchronized void change(java.util.function.Consumer<Map<String, InstanceEntry>> edit) {
    Map<String, InstanceEntry> changed = new TreeMap<>(states.getLast().instances);
    edit.accept(changed);
    states.addLast(new State(clock.nanoTime(), changed));
    if (states.size() > MAX_STATES) {
      states.removeFirst();
    }
  }

  private synchronized Map<String, InstanceEntry> visible() {
    long lagNanos = TimeUnit.MILLISECONDS.toNanos(faults.current().lagMillis());
    long asOfNanos = clock.nanoTime() - lagNanos;
    Map<String, InstanceEntry> visible = Map.of();
    for (State state : states) {
      if (state.sinceNanos - asOfNanos > 0) {
        break;
      }
      visible = state.instances;
    }
    return visible;
  }
}
