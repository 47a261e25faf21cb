package org.buckthornferry.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.endpoint.EndpointStatus;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.RouteCost;
import org.buckthornferry.util.Checks;

/**
 * Chooses the endpoint of one service with the earliest expected finish of a request, within the
 * concurrency limits. Endpoints are sorted by estimated run time. A decision compares a fixed
 * number of the fastest and those that have a prefix of the prompt cached, so its cost grows with
 * the logarithm of the number of endpoints.
 */
public final class EndpointChooser {
  /** The fastest endpoints of each version that one decision compares exactly. */
  private static final int MAX_COMPARED = 8;

  /**
   * The backed-off endpoints that one decision makes available again. At high load, more than one
   * would only back off the same full endpoints again.
   */
  private static final int MAX_RECHECKED_PER_DECISION = 1;

  /** The full endpoints that one decision may back off, which bounds its cost. */
  private static final int MAX_BACKED_OFF_PER_DECISION = 16;

  /** How long a full endpoint is skipped, unless one of its requests ends. */
  private static final long FULL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final String serviceId;
  private final CostEstimator costs;
  private final PrefixIndex prefixes;
  private final ConcurrencyLimits limits;
  private final VersionGate versions;
  private final int prefixBlockTokens;
  private final Map<String, EndpointSlot> slots = new HashMap<>();
  private final TreeMap<String, TreeSet<EndpointSlot>> readyByVersion = new TreeMap<>();
  private final TreeSet<EndpointSlot> backedOff = new TreeSet<>(EndpointSlot.BY_RECHECK_TIME);
  private RouteCost meanCost = new RouteCost(1, 1);

  /**
   * Creates a chooser without endpoints.
   *
   * @param prefixBlockTokens the number of tokens in one block of a prompt prefix
   */
  public EndpointChooser(
      String serviceId,
      CostEstimator costs,
      PrefixIndex prefixes,
      ConcurrencyLimits limits,
      VersionGate versions,
      int prefixBlockTokens) {
    this.serviceId = Checks.notEmpty(serviceId, "serviceId");
    this.costs = Checks.notNull(costs, "costs");
    this.prefixes = Checks.notNull(prefixes, "prefixes");
    this.limits = Checks.notNull(limits, "limits");
    this.versions = Checks.notNull(versions, "versions");
    this.prefixBlockTokens = (int) Checks.positive(prefixBlockTokens, "prefixBlockTokens");
  }

  /** Applies the declared endpoints of the service. */
  public void declare(ServiceDeclaration service) {
    Set<String> declared = new HashSet<>();
    for (EndpointDeclaration declaration : service.endpoints()) {
      declared.add(declaration.id());
      EndpointSlot known = slots.get(declaration.id());
      if (known == null || !known.declaration.equals(declaration)) {
        replace(known, new EndpointSlot(declaration, costs.speed(declaration.id())));
      }
    }
    for (String endpointId : List.copyOf(slots.keySet())) {
      if (!declared.contains(endpointId)) {
        removeFromOrder(slots.remove(endpointId));
      }
    }
  }

  /** Applies the health of the endpoints. */
  public void update(EndpointStates states) {
    for (EndpointSlot slot : slots.values()) {
      EndpointStatus status =
          states.of(slot.declaration.id()).orElse(new EndpointStatus(EndpointState.FAILED, 0));
      if (!status.equals(slot.status)) {
        removeFromOrder(slot);
        slot.status = status;
        addToOrder(slot);
      }
    }
  }

  /** Excludes an endpoint until the next update of its health. */
  public void suspend(String endpointId) {
    EndpointSlot slot = slots.get(endpointId);
    if (slot != null) {
      removeFromOrder(slot);
      slot.status = new EndpointStatus(EndpointState.FAILED, 0);
    }
  }

  /**
   * Returns the endpoint with the earliest expected finish, or empty when none has a free slot. The
   * caller acquires the slot with {@link ConcurrencyLimits#tryAcquire}.
   *
   * @param excluded endpoints that must not be chosen
   */
  public Optional<Candidate> choose(
      RouteCost cost, List<Long> prefixHashes, Set<String> excluded, long nowNanos) {
    recheckBackedOff(nowNanos);
    Map<String, Integer> cachedBlocks =
        prefixHashes.isEmpty() ? Map.of() : prefixes.cachedBlocks(prefixHashes);
    Candidate best = null;
    for (Map.Entry<String, TreeSet<EndpointSlot>> entry : readyByVersion.entrySet()) {
      if (entry.getValue().isEmpty()
          || !versions.mayDispatch(serviceId, entry.getKey(), nowNanos)) {
        continue;
      }
      for (EndpointSlot slot :
          endpointsToCompare(entry.getKey(), entry.getValue(), cachedBlocks, excluded, nowNanos)) {
        int blocks = cachedBlocks.getOrDefault(slot.declaration.id(), 0);
        best = earlier(best, candidate(slot, cost, blocks, nowNanos));
      }
    }
    return Optional.ofNullable(best);
  }

  /** Records that a request was started on an endpoint. */
  public void onStarted(String endpointId, RouteCost cost, long nowNanos) {
    EndpointSlot slot = slots.get(endpointId);
    if (slot != null) {
      slot.onStarted(cost.prefillTokens(), nowNanos);
      // An exponential moving average of the sizes of started requests.
      meanCost =
          new RouteCost(
              0.95 * meanCost.prefillTokens() + 0.05 * cost.prefillTokens(),
              0.95 * meanCost.decodeTokens() + 0.05 * cost.decodeTokens());
      reorder(slot);
    }
  }

  /** Records that a request has ended on an endpoint. */
  public void onFinished(String endpointId) {
    EndpointSlot slot = slots.get(endpointId);
    if (slot != null) {
      slot.running = Math.max(0, slot.running - 1);
      reorder(slot);
    }
  }

  /** Returns the shortest estimated run time on any accepting endpoint, or empty. */
  public Optional<Long> minRunNanos(RouteCost cost) {
    double best = Double.POSITIVE_INFINITY;
    for (TreeSet<EndpointSlot> ready : readyByVersion.values()) {
      if (!ready.isEmpty()) {
        best = Math.min(best, estimatedRunNanos(ready.first(), cost));
      }
    }
    int examined = 0;
    for (EndpointSlot slot : backedOff) {
      if (examined++ == MAX_COMPARED) {
        break;
      }
      best = Math.min(best, estimatedRunNanos(slot, cost));
    }
    return Double.isInfinite(best) ? Optional.empty() : Optional.of((long) best);
  }

  /** Returns the moving average of the sizes of started requests. */
  public RouteCost meanCost() {
    return meanCost;
  }

  /** Returns whether any endpoint accepts new requests, even if it is full now. */
  public boolean hasAcceptingEndpoint() {
    return !backedOff.isEmpty() || readyByVersion.values().stream().anyMatch(set -> !set.isEmpty());
  }

  /** Returns the concurrency budget of each endpoint that accepts new requests. */
  public Map<String, Integer> budgets() {
    Map<String, Integer> budgets = new TreeMap<>();
    for (EndpointSlot slot : slots.values()) {
      if (slot.status.state().acceptsNewRequests()) {
        budgets.put(slot.declaration.id(), slot.status.budgetConcurrent());
      }
    }
    return budgets;
  }

  /** Returns the accepting endpoint that runs the fewest requests of this instance. */
  public Optional<String> leastLoaded(Set<String> excluded) {
    EndpointSlot best = null;
    for (EndpointSlot slot : slots.values()) {
      boolean usable =
          slot.status.state().acceptsNewRequests() && !excluded.contains(slot.declaration.id());
      if (usable && (best == null || isLessLoaded(slot, best))) {
        best = slot;
      }
    }
    return Optional.ofNullable(best).map(slot -> slot.declaration.id());
  }

  /** Returns the version of an endpoint, or empty when it is not declared. */
  public Optional<String> versionOf(String endpointId) {
    return Optional.ofNullable(slots.get(endpointId)).map(slot -> slot.declaration.version());
  }

  /** Returns the last applied state of an endpoint, or empty when it is not declared. */
  public Optional<EndpointState> stateOf(String endpointId) {
    return Optional.ofNullable(slots.get(endpointId)).map(slot -> slot.status.state());
  }

  private List<EndpointSlot> endpointsToCompare(
      String version,
      NavigableSet<EndpointSlot> ready,
      Map<String, Integer> cachedBlocks,
      Set<String> excluded,
      long nowNanos) {
    List<EndpointSlot> compared = new ArrayList<>(MAX_COMPARED + cachedBlocks.size());
    List<EndpointSlot> full = new ArrayList<>();
    int examined = 0;
    for (Iterator<EndpointSlot> iterator = ready.iterator(); iterator.hasNext(); ) {
      EndpointSlot slot = iterator.next();
      if (compared.size() == MAX_COMPARED
          || examined++ == MAX_COMPARED + MAX_BACKED_OFF_PER_DECISION) {
        break;
      }
      if (excluded.contains(slot.declaration.id())) {
        continue;
      }
      if (limits.available(slot.declaration.id(), nowNanos) > 0) {
        compared.add(slot);
      } else {
        full.add(slot);
      }
    }
    full.forEach(slot -> backOff(slot, nowNanos));
    for (String endpointId : cachedBlocks.keySet()) {
      EndpointSlot slot = slots.get(endpointId);
      boolean usable =
          slot != null
              && slot.availability == EndpointSlot.Availability.READY
              && slot.declaration.version().equals(version)
              && !excluded.contains(endpointId);
      if (usable && limits.available(endpointId, nowNanos) > 0) {
        compared.add(slot);
      }
    }
    return compared;
  }

  private Candidate candidate(EndpointSlot slot, RouteCost cost, int blocks, long nowNanos) {
    double cached = Math.min(cost.prefillTokens(), (double) blocks * prefixBlockTokens);
    long finishNanos =
        slot.finishNanos(cost.prefillTokens() - cached, cost.decodeTokens(), nowNanos);
    return new Candidate(
        slot.declaration.id(), slot.declaration.version(), finishNanos, (long) cached);
  }

  private static Candidate earlier(Candidate a, Candidate b) {
    return a != null && a.finishNanos() - b.finishNanos() <= 0 ? a : b;
  }

  private static boolean isLessLoaded(EndpointSlot a, EndpointSlot b) {
    return a.running != b.running
        ? a.running < b.running
        : a.declaration.id().compareTo(b.declaration.id()) < 0;
  }

  private static double estimatedRunNanos(EndpointSlot slot, RouteCost cost) {
    return slot.runNanos(cost.prefillTokens(), cost.decodeTokens());
  }

  private void recheckBackedOff(long nowNanos) {
    for (int i = 0; i < MAX_RECHECKED_PER_DECISION && !backedOff.isEmpty(); i++) {
      EndpointSlot slot = backedOff.first();
      if (slot.recheckNanos - nowNanos > 0) {
        return;
      }
      removeFromOrder(slot);
      addToOrder(slot);
    }
  }

  private void backOff(EndpointSlot slot, long nowNanos) {
    removeFromOrder(slot);
    slot.recheckNanos = nowNanos + FULL_BACKOFF_NANOS;
    slot.availability = EndpointSlot.Availability.BACKED_OFF;
    backedOff.add(slot);
  }

  private void reorder(EndpointSlot slot) {
    removeFromOrder(slot);
    addToOrder(slot);
  }

  private void replace(EndpointSlot known, EndpointSlot slot) {
    if (known != null) {
      removeFromOrder(known);
      slot.running = known.running;
    }
    slots.put(slot.declaration.id(), slot);
  }

  private void addToOrder(EndpointSlot slot) {
    String endpointId = slot.declaration.id();
    slot.updateRunTime(costs.speed(endpointId), meanCost.prefillTokens(), meanCost.decodeTokens());
    if (slot.status.state().acceptsNewRequests()) {
      slot.availability = EndpointSlot.Availability.READY;
      readyOf(slot).add(slot);
    }
  }

  private void removeFromOrder(EndpointSlot slot) {
    switch (slot.availability) {
      case READY -> readyOf(slot).remove(slot);
      case BACKED_OFF -> backedOff.remove(slot);
      default -> {}
    }
    slot.availability = EndpointSlot.Availability.UNAVAILABLE;
  }

  private NavigableSet<EndpointSlot> readyOf(EndpointSlot slot) {
    return readyByVersion.computeIfAbsent(
        slot.declaration.version(), version -> new TreeSet<>(EndpointSlot.BY_RUN_TIME));
  }
}
