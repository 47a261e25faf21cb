package org.buckthornferry.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.routing.RequestOutcome;

/** Known simple schedulers. They skip drained failure domains and never refuse. */
final class BaselinePolicy implements Policy {
  /** How an endpoint is chosen. */
  enum Kind {
    ROUND_ROBIN,
    LEAST_OUTSTANDING,
    POWER_OF_TWO,
    /** Waits in arrival order at the instance until any endpoint has a free place. */
    FIRST_IN_FIRST_OUT
  }

  private final Kind kind;
  private final Map<String, List<EngineSpec>> engines = new HashMap<>();
  private final Map<String, Integer> next = new HashMap<>();
  private final List<Map<String, Integer>> outstanding = new ArrayList<>();
  private final List<Map<String, ArrayDeque<Work>>> queues = new ArrayList<>();
  private final Map<String, Place> places = new HashMap<>();
  private final SharedLedger ledger;
  private final SplittableRandom random;
  private final BiConsumer<Work, String> dispatch;
  private ConfigSnapshot config;
  private int turn;

  private record Place(int instance, String endpointId) {}

  BaselinePolicy(
      Kind kind, Scenario scenario, int instances, long seed, BiConsumer<Work, String> dispatch) {
    this.kind = kind;
    this.dispatch = dispatch;
    this.random = new SplittableRandom(seed);
    this.config = new ConfigSnapshot(1, "first", scenario.declarations());
    Map<String, Integer> limits = new HashMap<>();
    for (EngineSpec engine : scenario.engines()) {
      String id = engine.declaration().id();
      limits.put(id, engine.declaration().maxConcurrent());
      String service = id.substring(0, id.lastIndexOf('-'));
      engines.computeIfAbsent(service, key -> new ArrayList<>()).add(engine);
    }
    this.ledger = new SharedLedger(id -> limits.getOrDefault(id, 0));
    for (int i = 0; i < instances; i++) {
      outstanding.add(new HashMap<>());
      queues.add(new HashMap<>());
    }
  }

  @Override
  public void submit(int instance, Work work) {
    if (kind == Kind.FIRST_IN_FIRST_OUT) {
      queues
          .get(instance)
          .computeIfAbsent(work.request().serviceId(), id -> new ArrayDeque<>())
          .addLast(work);
      drainQueues();
      return;
    }
    List<EngineSpec> usable = usable(work.request().serviceId());
    EngineSpec chosen =
        switch (kind) {
          case LEAST_OUTSTANDING -> least(instance, usable);
          case POWER_OF_TWO ->
              least(
                  instance,
                  List.of(
                      usable.get(random.nextInt(usable.size())),
                      usable.get(random.nextInt(usable.size()))));
          default ->
              usable.get(
                  next.merge(instance + work.request().serviceId(), 1, Integer::sum)
                      % usable.size());
        };
    start(instance, work, chosen.declaration().id());
  }

  @Override
  public void completed(Work work, RequestOutcome outcome) {
    Place place = places.remove(work.id());
    outstanding.get(place.instance).merge(place.endpointId, -1, Integer::sum);
    if (kind == Kind.FIRST_IN_FIRST_OUT) {
      ledger.release(place.endpointId, 0);
      drainQueues();
    }
  }

  @Override
  public void configure(ConfigSnapshot snapshot) {
    config = snapshot;
  }

  private List<EngineSpec> usable(String serviceId) {
    List<EngineSpec> usable = new ArrayList<>();
    for (EngineSpec engine : engines.get(serviceId)) {
      if (!config.declarations().isDrained(engine.declaration().failureDomain())) {
        usable.add(engine);
      }
    }
    return usable;
  }

  private EngineSpec least(int instance, List<EngineSpec> candidates) {
    EngineSpec best = candidates.get(0);
    for (EngineSpec candidate : candidates) {
      if (count(instance, candidate) < count(instance, best)) {
        best = candidate;
      }
    }
    return best;
  }

  private int count(int instance, EngineSpec engine) {
    return outstanding.get(instance).getOrDefault(engine.declaration().id(), 0);
  }

  private void start(int instance, Work work, String endpointId) {
    places.put(work.id(), new Place(instance, endpointId));
    outstanding.get(instance).merge(endpointId, 1, Integer::sum);
    dispatch.accept(work, endpointId);
  }

  private void drainQueues() {
    boolean started = true;
    while (started) {
      started = false;
      for (int i = 0; i < queues.size(); i++) {
        turn = (turn + 1) % queues.size();
        started |= drainOne(turn);
      }
    }
  }

  private boolean drainOne(int instance) {
    boolean started = false;
    for (Map.Entry<String, ArrayDeque<Work>> queue : queues.get(instance).entrySet()) {
      if (queue.getValue().isEmpty()) {
        continue;
      }
      for (EngineSpec engine : usable(queue.getKey())) {
        if (ledger.tryAcquire(engine.declaration().id(), 0)) {
          start(instance, queue.getValue().pollFirst(), engine.declaration().id());
          started = true;
          break;
        }
      }
    }
    return started;
  }
}
