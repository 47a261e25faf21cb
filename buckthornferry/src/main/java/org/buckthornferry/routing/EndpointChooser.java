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
 * Chooses the endpoint of one service that would finish a request first, within the concurrency
 * limits. Endpoints are kept in order of their estimated run time; a decision looks at a fixed
 * number of the first ones and at those that hold a prefix of the prompt, so its cost grows with
 * the logarithm of the number of endpoints.
 */
public final class EndpointChooser {
  /** The first endpoints of the order that are compared exactly. */
  private static final int COMPARED = 8;

  /**
   * The endpoints set aside that one decision looks at again. More than one would only set the same
   * full endpoints aside again at high load.
   */
  private static final int RECHECKED = 1;

  /** The endpoints without room that one decision may set aside. */
  private static final int MAX_PARKED_PER_DECISION = 16;

  /** How long an endpoint without room is not looked at again, unless a request ends there. */
  private static final long PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final String serviceId;
  private final CostEstimator costs;
  private final PrefixIndex prefixes;
  private final ConcurrencyLimits limits;
  private final VersionGate versions;
  private final int prefixBlockTokens;
  private final Map<String, EndpointSlot> slots = new HashMap<>();
  private final TreeMap<String, TreeSet<EndpointSlot>> readyByVersion = new TreeMap<>();
  private final TreeSet<EndpointSlot> parked = new TreeSet<>(EndpointSlot.BY_CHECK);
  private RouteCost usual = new RouteCost(1, 1);

  /**
   * Creates a chooser without endpoints.
   *
   * @param prefixBlockTokens the tokens in one block of a prompt prefix
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

  /** Takes over the endpoints of the declaration. */
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
        withdraw(slots.remove(endpointId));
      }
    }
  }

  /** Takes over the health of the endpoints. */
  public void update(EndpointStates states) {
    for (EndpointSlot slot : slots.values()) {
      EndpointStatus status =
          states.of(slot.declaration.id()).orElse(new EndpointStatus(EndpointState.FAILED, 0));
      if (!status.equals(slot.status)) {
        withdraw(slot);
        slot.status = status;
        enter(slot);
      }
    }
  }

  /** Takes an endpoint out until its next change of health. */
  public void suspend(String endpointId) {
    EndpointSlot slot = slots.get(endpointId);
    if (slot != null) {
      withdraw(slot);
      slot.status = new EndpointStatus(EndpointState.FAILED, 0);
    }
  }

  /**
   * Returns the endpoint that would finish the request first, or empty when none has room. The
   * caller takes the place with {@link ConcurrencyLimits#tryAcquire}.
   *
   * @param excluded endpoints that must not be chosen
   */
  public Optional<Candidate> choose(
      RouteCost cost, List<Long> prefixHashes, Set<String> excluded, long nowNanos) {
    recheckParked(nowNanos);
    Map<String, Integer> cachedBlocks =
        prefixHashes.isEmpty() ? Map.of() : prefixes.cachedBlocks(prefixHashes);
    Candidate best = null;
    for (Map.Entry<String, TreeSet<EndpointSlot>> entry : readyByVersion.entrySet()) {
      if (entry.getValue().isEmpty()
          || !versions.mayDispatch(serviceId, entry.getKey(), nowNanos)) {
        continue;
      }
      for (EndpointSlot slot :
          compared(entry.getKey(), entry.getValue(), cachedBlocks, excluded, nowNanos)) {
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
      // A moving mean of the started requests stands for the usual one.
      usual =
          new RouteCost(
              0.95 * usual.prefillTokens() + 0.05 * cost.prefillTokens(),
              0.95 * usual.decodeTokens() + 0.05 * cost.decodeTokens());
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

  /** Returns the shortest estimated run time on any endpoint that takes work, or empty. */
  public Optional<Long> bestRunNanos(RouteCost cost) {
    double best = Double.POSITIVE_INFINITY;
    for (TreeSet<EndpointSlot> ready : readyByVersion.values()) {
      if (!ready.isEmpty()) {
        best = Math.min(best, idleRunNanos(ready.first(), cost));
      }
    }
    int looked = 0;
    for (EndpointSlot slot : parked) {
      if (looked++ == COMPARED) {
        break;
      }
      best = Math.min(best, idleRunNanos(slot, cost));
    }
    return Double.isInfinite(best) ? Optional.empty() : Optional.of((long) best);
  }

  /** Returns the moving mean of the sizes of started requests. */
  public RouteCost usualCost() {
    return usual;
  }

  /** Returns whether any endpoint takes new work, with room or without. */
  public boolean hasWorkingEndpoint() {
    return !parked.isEmpty() || readyByVersion.values().stream().anyMatch(set -> !set.isEmpty());
  }

  /** Returns the endpoints that take new work with the concurrency that their state allows. */
  public Map<String, Integer> budgets() {
    Map<String, Integer> budgets = new TreeMap<>();
    for (EndpointSlot slot : slots.values()) {
      if (slot.status.state().acceptsNewRequests()) {
        budgets.put(slot.declaration.id(), slot.status.budgetConcurrent());
      }
    }
    return budgets;
  }

  /** Returns the endpoint that takes work and runs the fewest requests of this instance. */
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

  /** Returns the state of an endpoint as the chooser knows it, or empty when it is not declared. */
  public Optional<EndpointState> stateOf(String endpointId) {
    return Optional.ofNullable(slots.get(endpointId)).map(slot -> slot.status.state());
  }

  private List<EndpointSlot> compared(
      String version,
      NavigableSet<EndpointSlot> ready,
      Map<String, Integer> cachedBlocks,
      Set<String> excluded,
      long nowNanos) {
    List<EndpointSlot> compared = new ArrayList<>(COMPARED + cachedBlocks.size());
    List<EndpointSlot> full = new ArrayList<>();
    int looked = 0;
    for (Iterator<EndpointSlot> iterator = ready.iterator(); iterator.hasNext(); ) {
      EndpointSlot slot = iterator.next();
      if (compared.size() == COMPARED || looked++ == COMPARED + MAX_PARKED_PER_DECISION) {
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
    full.forEach(slot -> park(slot, nowNanos));
    for (String endpointId : cachedBlocks.keySet()) {
      EndpointSlot slot = slots.get(endpointId);
      boolean usable =
          slot != null
              && slot.place == EndpointSlot.Place.READY
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

  private static double idleRunNanos(EndpointSlot slot, RouteCost cost) {
    return slot.runNanos(cost.prefillTokens(), cost.decodeTokens());
  }

  private void recheckParked(long nowNanos) {
    for (int i = 0; i < RECHECKED && !parked.isEmpty(); i++) {
      EndpointSlot slot = parked.first();
      if (slot.checkNanos - nowNanos > 0) {
        return;
      }
      withdraw(slot);
      enter(slot);
    }
  }

  private void park(EndpointSlot slot, long nowNanos) {
    withdraw(slot);
    slot.checkNanos = nowNanos + PARK_NANOS;
    slot.place = EndpointSlot.Place.PARKED;
    parked.add(slot);
  }

  private void reorder(EndpointSlot slot) {
    withdraw(slot);
    enter(slot);
  }

  private void replace(EndpointSlot known, EndpointSlot slot) {
    if (known != null) {
      withdraw(known);
      slot.running = known.running;
    }
    slots.put(slot.declaration.id(), slot);
  }

  private void enter(EndpointSlot slot) {
    String endpointId = slot.declaration.id();
    slot.rescore(costs.speed(endpointId), usual.prefillTokens(), usual.decodeTokens());
    if (slot.status.state().acceptsNewRequests()) {
      slot.place = EndpointSlot.Place.READY;
      readyOf(slot).add(slot);
    }
  }

  private void withdraw(EndpointSlot slot) {
    switch (slot.place) {
      case READY -> readyOf(slot).remove(slot);
      case PARKED -> parked.remove(slot);
      default -> {}
    }
    slot.place = EndpointSlot.Place.OUT;
  }

  private NavigableSet<EndpointSlot> readyOf(EndpointSlot slot) {
    return readyByVersion.computeIfAbsent(
        slot.declaration.version(), version -> new TreeSet<>(EndpointSlot.BY_SCORE));
  }
}
