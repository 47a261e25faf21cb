package org.buckthornferry.fleetqueue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.concurrency.CapacityModel;
import org.buckthornferry.concurrency.Observation;
import org.buckthornferry.dispatch.AnswerLengths;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.error.ErrorKind;

/**
 * The queue of one service's waiting requests over all instances. Decides in which order they get
 * slots, at which endpoints, and which of them are refused because no slot can come in time. The
 * instances reserve the slots, so a wrong count costs a rejected reservation and nothing else.
 */
public final class FleetQueue {
  /**
   * The interval at which positions in the queue and estimates of endpoints are computed anew, in
   * milliseconds. Computing them for each decision took most of the coordinator's processor time.
   */
  private static final long REFRESH_MILLIS = 20;

  /** Returned by {@link #nextDueNanos} when nothing is due without a further event. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * The maximum number of tickets of a route per decision that are passed over because no free
   * endpoint suits them. Requests of other routes may use the endpoints that these wait past.
   */
  private static final int MAX_SKIPPED_PER_ROUTE = 4;

  /**
   * Requests that wait at an endpoint without reservations, as a share of its slots. Their wait is
   * a third of a run, and slots are not idle for the round trips between two requests.
   */
  private static final double WAITING_SHARE = 0.34;

  /** The expected time until a slot becomes free at a busy endpoint, in milliseconds. */
  private static final long SLOT_WAIT_MILLIS = 100;

  /**
   * The size of a shared part from which a slot at an endpoint that has cached it is worth waiting
   * for, in tokens; reading it takes about as long as the wait.
   */
  private static final long MIN_AWAITED_TOKENS = 4_000;

  /** The share of the endpoints below which those with a free slot count as scarce. */
  private static final double SCARCE_SHARE = 0.1;

  /** How long a grant counts as running although its instance does not state it yet. */
  private static final long GRANT_GRACE_MILLIS = 500;

  /**
   * How long before its caller leaves a late request is raised in the queue, in milliseconds; a few
   * slots become free within it.
   */
  private static final long LAST_CALL_MILLIS = 800;

  /** Retry-After as a share of the time left to the deadline; a caller still retries after it. */
  private static final double MAX_RETRY_AFTER_SHARE = 0.32;

  /** The shortest Retry-After, in milliseconds; about the time in which one slot is released. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /** The number of tickets that are remembered as known; some seconds of arrivals. */
  private static final int MAX_KNOWN = 8_192;

  private final CapacityModel capacities;
  private final VersionPolicy versions;
  private final boolean hasReservations;
  private final RandomGenerator random;
  private final Map<String, EndpointState> endpoints = new HashMap<>();
  private final Map<TicketKey, QueuedTicket> tickets = new HashMap<>();
  private final Map<TicketKey, Grant> grants = new HashMap<>();
  private final Map<TicketKey, Boolean> isLongByTicket =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TicketKey, Boolean> eldest) {
          return size() > MAX_KNOWN;
        }
      };
  private final ClassShares shares = new ClassShares();
  private final WaitEstimate waits = new WaitEstimate();
  private final AnswerLengths answerLengths = new AnswerLengths();
  private final List<QueuedTicket> ordered = new ArrayList<>();
  private final List<QueuedTicket> unjudged = new ArrayList<>();
  private Map<String, List<Decision>> decisions = new LinkedHashMap<>();
  private Optional<EndpointState> fastest = Optional.empty();
  private long refreshedNanos = Long.MIN_VALUE / 2;
  private long changes;
  private int slots;
  private int usableSlots;
  private long granted;
  private long refused;

  private static final Comparator<QueuedTicket> BY_POSITION =
      Comparator.comparing(QueuedTicket::position);

  /** A request that has been granted a slot and has not ended. */
  private record Grant(
      String endpointId,
      Ticket ticket,
      int concurrency,
      double uncachedTokens,
      double goalMillis,
      long grantedNanos) {}

  /** Creates a queue without endpoints. */
  public FleetQueue(CapacityModel capacities, VersionPolicy versions, RandomGenerator random) {
    this(capacities, versions, /* hasReservations= */ true, random);
  }

  /**
   * Creates a queue without endpoints.
   *
   * @param hasReservations whether endpoints reserve slots; others let some requests wait, which
   *     keeps them busy while messages are under way
   */
  public FleetQueue(
      CapacityModel capacities,
      VersionPolicy versions,
      boolean hasReservations,
      RandomGenerator random) {
    this.hasReservations = hasReservations;
    this.capacities = capacities;
    this.versions = versions;
    this.random = random;
  }

  /** Sets the endpoints that may get requests; what runs at others is forgotten. */
  public void setEndpoints(Collection<Endpoint> usable, long nowNanos) {
    Map<String, EndpointState> before = new HashMap<>(endpoints);
    Map<String, Integer> slotsByProcess = new HashMap<>();
    endpoints.clear();
    slots = 0;
    for (Endpoint endpoint : usable) {
      EndpointState state = before.get(endpoint.id());
      if (state == null || !state.endpoint().isSameProcess(endpoint)) {
        state = new EndpointState(endpoint, nowNanos);
      }
      state.update(endpoint);
      endpoints.put(endpoint.id(), state);
      slotsByProcess.put(endpoint.processKey(), endpoint.capacity());
      slots += endpoint.capacity();
    }
    capacities.setEndpoints(slotsByProcess);
    for (EndpointState state : endpoints.values()) {
      state.setEstimate(capacities.estimate(state.endpoint().processKey(), nowNanos));
    }
    refreshedNanos = Long.MIN_VALUE / 2;
    changes++;
  }

  /**
   * Adds a ticket, or replaces it. A request keeps its ticket number when it is submitted again, so
   * that it counts as one arrival.
   */
  public void submit(String instanceId, String failureDomain, Ticket submitted, long nowNanos) {
    TicketKey key = new TicketKey(instanceId, submitted.number());
    remove(key);
    boolean isNew = !isLongByTicket.containsKey(key);
    if (isNew) {
      isLongByTicket.put(
          key,
          answerLengths.isLong(submitted.routeName(), submitted.size().expectedOutputTokens()));
    }
    Ticket ticket = submitted.withLong(isLongByTicket.get(key));
    if (isNew) {
      shares.onArrival(ticket, nowNanos);
    }
    QueuedTicket queued = new QueuedTicket(key, failureDomain, ticket, nowNanos);
    queued.setPosition(position(queued, nowNanos));
    tickets.put(key, queued);
    shares.onQueued(ticket);
    int index = Collections.binarySearch(ordered, queued, BY_POSITION);
    ordered.add(index < 0 ? -index - 1 : index, queued);
    if (isNew) {
      unjudged.add(queued);
      waits.onAdmitted(queued.position(), nowNanos);
    } else {
      queued.markAdmitted();
    }
  }

  /** Removes a ticket whose request does not wait any more. */
  public void withdraw(String instanceId, long ticketNumber) {
    remove(new TicketKey(instanceId, ticketNumber));
  }

  private void remove(TicketKey key) {
    QueuedTicket queued = tickets.remove(key);
    if (queued != null) {
      ordered.remove(queued);
      unjudged.remove(queued);
      shares.onRemoved(queued.ticket());
    }
  }

  /** Records the end of an attempt, or of a grant that was not used. */
  public void onEnded(String instanceId, EndedRun run, long nowNanos) {
    final Grant grant = grants.remove(new TicketKey(instanceId, run.ticketNumber()));
    EndpointState endpoint = endpoints.get(run.endpointId());
    if (endpoint == null) {
      return;
    }
    int concurrency = endpoint.running();
    changes++;
    endpoint.onEnded(instanceId, run.outcome(), nowNanos);
    String processKey = endpoint.endpoint().processKey();
    if (run.outcome() == AttemptOutcome.FULL) {
      capacities.onFull(processKey, concurrency, nowNanos);
    }
    if (grant != null && run.outcome() == AttemptOutcome.COMPLETED) {
      waits.onEnded((nowNanos - grant.grantedNanos) / 1e6);
    }
    if (grant != null && run.timing().isPresent()) {
      EndedRun.Timing timing = run.timing().get();
      if (run.outcome() == AttemptOutcome.COMPLETED) {
        answerLengths.onAnswer(grant.ticket.size().expectedOutputTokens(), timing.events());
      }
      observe(instanceId, processKey, grant, timing, nowNanos);
    }
  }

  private void observe(
      String instanceId, String processKey, Grant grant, EndedRun.Timing timing, long nowNanos) {
    capacities.observe(
        processKey,
        new Observation(
            instanceId,
            grant.concurrency,
            grant.uncachedTokens,
            timing.firstEventMillis(),
            timing.events(),
            timing.streamMillis(),
            timing.longestGapMillis(),
            grant.goalMillis,
            grant.ticket.gapGoalMillis()),
        nowNanos);
  }

  /**
   * Sets what an instance states to run. Grants of the last moment are added, because they may not
   * have reached it.
   */
  public void setRunning(
      String instanceId, Map<String, Integer> runningByEndpointId, long nowNanos) {
    // The end of a run is not reported here when its instance has changed the coordinator.
    grants
        .values()
        .removeIf(
            grant ->
                nowNanos - grant.grantedNanos
                    > TimeUnit.MILLISECONDS.toNanos(
                        grant.ticket.deadlineMillis() + GRANT_GRACE_MILLIS));
    Map<String, Integer> fresh = new HashMap<>();
    for (Map.Entry<TicketKey, Grant> entry : grants.entrySet()) {
      boolean isFresh =
          nowNanos - entry.getValue().grantedNanos
              < TimeUnit.MILLISECONDS.toNanos(GRANT_GRACE_MILLIS);
      if (isFresh && entry.getKey().instanceId().equals(instanceId)) {
        fresh.merge(entry.getValue().endpointId, 1, Integer::sum);
      }
    }
    for (Map.Entry<String, EndpointState> entry : endpoints.entrySet()) {
      int stated = runningByEndpointId.getOrDefault(entry.getKey(), 0);
      int count = Math.max(stated, fresh.getOrDefault(entry.getKey(), 0));
      entry.getValue().setRunning(instanceId, count);
    }
    changes++;
  }

  /** Forgets the ticket numbers of an instance whose process has been restarted. */
  public void forgetNumbers(String instanceId) {
    isLongByTicket.keySet().removeIf(key -> key.instanceId().equals(instanceId));
  }

  /** Forgets the tickets and runs of an instance that has left. */
  public void removeInstance(String instanceId) {
    for (TicketKey key : List.copyOf(tickets.keySet())) {
      if (key.instanceId().equals(instanceId)) {
        remove(key);
      }
    }
    grants.keySet().removeIf(key -> key.instanceId().equals(instanceId));
    endpoints.values().forEach(endpoint -> endpoint.removeInstance(instanceId));
    changes++;
  }

  /** Grants free slots and refuses what cannot be served; returns the decisions by instance. */
  public Map<String, List<Decision>> decide(long nowNanos) {
    decisions = new LinkedHashMap<>();
    if (tickets.isEmpty()) {
      return decisions;
    }
    boolean isRefreshed =
        nowNanos - refreshedNanos >= TimeUnit.MILLISECONDS.toNanos(REFRESH_MILLIS);
    if (isRefreshed) {
      refresh(nowNanos);
    }
    grantFreeSlots(nowNanos);
    refuseHopeless(isRefreshed ? List.copyOf(ordered) : List.copyOf(unjudged), nowNanos);
    unjudged.clear();
    return decisions;
  }

  private void refresh(long nowNanos) {
    refreshedNanos = nowNanos;
    changes++;
    for (QueuedTicket queued : ordered) {
      queued.setPosition(position(queued, nowNanos));
    }
    ordered.sort(BY_POSITION);
    EndpointState best = null;
    usableSlots = 0;
    for (EndpointState endpoint : endpoints.values()) {
      endpoint.setEstimate(capacities.estimate(endpoint.endpoint().processKey(), nowNanos));
      boolean isFaster =
          best == null || endpoint.estimate().millisPerToken() < best.estimate().millisPerToken();
      if (isUsable(endpoint, nowNanos)) {
        usableSlots += endpoint.estimate().limit();
        best = isFaster ? endpoint : best;
      }
    }
    fastest = Optional.ofNullable(best);
  }

  private void grantFreeSlots(long nowNanos) {
    List<EndpointState> free = freeEndpoints(nowNanos);
    Map<String, Integer> skippedByRoute = new HashMap<>();
    int next = 0;
    while (!free.isEmpty() && next < ordered.size()) {
      QueuedTicket first = ordered.get(next);
      String route = first.ticket().routeName();
      if (first.isSkippedAt(changes)
          || skippedByRoute.getOrDefault(route, 0) >= MAX_SKIPPED_PER_ROUTE) {
        next++;
        continue;
      }
      Optional<EndpointState> endpoint = choose(first, free, nowNanos);
      if (endpoint.isEmpty()) {
        first.skipAt(changes);
        skippedByRoute.merge(route, 1, Integer::sum);
        next++;
        continue;
      }
      grant(first, endpoint.get(), nowNanos);
      if (!hasRoom(endpoint.get(), nowNanos)) {
        free.remove(endpoint.get());
      }
    }
  }

  /** Returns when to decide again although nothing happens, or {@link #NEVER}. */
  public long nextDueNanos(long nowNanos) {
    return tickets.isEmpty() ? NEVER : nowNanos + TimeUnit.MILLISECONDS.toNanos(REFRESH_MILLIS);
  }

  private QueuePosition position(QueuedTicket queued, long nowNanos) {
    Ticket ticket = queued.ticket();
    QueuePosition.Timeliness timeliness = timeliness(queued, nowNanos);
    boolean isBelowGuarantee =
        timeliness == QueuePosition.Timeliness.ON_TIME && shares.isBelowGuarantee(ticket, nowNanos);
    double runMillis = expectedEvents(ticket) * capacities.meanMillisPerEvent();
    return QueuePosition.of(queued, isBelowGuarantee, timeliness, (long) (runMillis * 1e6));
  }

  private QueuePosition.Timeliness timeliness(QueuedTicket queued, long nowNanos) {
    double firstEventMillis = meanFirstEventMillis(queued.ticket());
    if (queued.goalMillis(nowNanos) >= firstEventMillis / 2) {
      return QueuePosition.Timeliness.ON_TIME;
    }
    return usefulWaitMillis(queued, nowNanos) < LAST_CALL_MILLIS
        ? QueuePosition.Timeliness.LAST_CALL
        : QueuePosition.Timeliness.LATE;
  }

  /**
   * Returns how long a request may still wait for a slot at the fastest endpoint so that its caller
   * gets an answer.
   */
  private double usefulWaitMillis(QueuedTicket queued, long nowNanos) {
    Ticket ticket = queued.ticket();
    double millisPerToken =
        fastest
            .map(endpoint -> endpoint.estimate().millisPerToken())
            .orElse(capacities.meanMillisPerToken());
    double millisPerEvent =
        fastest
            .map(endpoint -> endpoint.estimate().millisPerEvent())
            .orElse(capacities.meanMillisPerEvent());
    double firstEventMillis =
        millisPerToken * (ticket.size().promptTokens() + CapacityModel.FIXED_COST_TOKENS);
    double runMillis = expectedEvents(ticket) * millisPerEvent;
    return Math.min(
        queued.patienceMillis(nowNanos) - firstEventMillis,
        queued.deadlineMillis(nowNanos) - firstEventMillis - runMillis);
  }

  private double meanFirstEventMillis(Ticket ticket) {
    return capacities.meanMillisPerToken()
        * (ticket.size().promptTokens() + CapacityModel.FIXED_COST_TOKENS);
  }

  private double expectedEvents(Ticket ticket) {
    return ticket.gapGoalMillis() <= 0
        ? 0
        : answerLengths.expectedEvents(ticket.size().expectedOutputTokens());
  }

  private List<EndpointState> freeEndpoints(long nowNanos) {
    List<EndpointState> free = new ArrayList<>();
    for (EndpointState endpoint : endpoints.values()) {
      if (hasRoom(endpoint, nowNanos)) {
        free.add(endpoint);
      }
    }
    return free;
  }

  private boolean hasRoom(EndpointState endpoint, long nowNanos) {
    int limit = endpoint.estimate().limit();
    int room = hasReservations ? limit : limit + (int) Math.ceil(WAITING_SHARE * limit);
    return endpoint.running() < room && isUsable(endpoint, nowNanos);
  }

  private boolean isUsable(EndpointState endpoint, long nowNanos) {
    String version = endpoint.endpoint().version();
    return endpoint.isAvailable(nowNanos)
        && versions.mayUse(version)
        && !versions.isCanary(version);
  }

  /** Returns the best free endpoint, or empty when a busy one is worth waiting for. */
  private Optional<EndpointState> choose(
      QueuedTicket queued, List<EndpointState> free, long nowNanos) {
    boolean isScarce = free.size() < SCARCE_SHARE * endpoints.size();
    EndpointState best = null;
    PlacementScore bestScore = null;
    for (EndpointState endpoint : free) {
      if (isExcluded(queued, endpoint, nowNanos)) {
        continue;
      }
      PlacementScore score = score(queued, endpoint, isScarce, nowNanos);
      if (bestScore == null || score.compareTo(bestScore) < 0) {
        best = endpoint;
        bestScore = score;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    boolean waits =
        bestScore.fit() == PlacementScore.Fit.GOOD
            ? fitAfterWait(queued, best, nowNanos) == PlacementScore.Fit.GOOD
                && isPromptCachedElsewhere(queued, best, nowNanos)
            : isBusyEndpointBetter(queued, bestScore.fit(), nowNanos);
    return waits ? Optional.empty() : Optional.of(best);
  }

  /** Returns which goals an endpoint keeps if its slot comes only after a wait. */
  private PlacementScore.Fit fitAfterWait(
      QueuedTicket queued, EndpointState endpoint, long nowNanos) {
    long laterNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(SLOT_WAIT_MILLIS);
    return score(queued, endpoint, /* isScarce= */ false, laterNanos).fit();
  }

  /**
   * Returns whether a busy endpoint has cached a large part of the prompt that the chosen one would
   * read again, and keeps the goals after a wait.
   */
  private boolean isPromptCachedElsewhere(
      QueuedTicket queued, EndpointState chosen, long nowNanos) {
    PromptPrefix prefix = queued.ticket().promptPrefix();
    if (prefix.tokens() < MIN_AWAITED_TOKENS || chosen.cachedTokens(prefix, nowNanos) > 0) {
      return false;
    }
    for (EndpointState endpoint : endpoints.values()) {
      if (endpoint.cachedTokens(prefix, nowNanos) > 0
          && isUsable(endpoint, nowNanos)
          && !isExcluded(queued, endpoint, nowNanos)
          && fitAfterWait(queued, endpoint, nowNanos) == PlacementScore.Fit.GOOD) {
        return true;
      }
    }
    return false;
  }

  private static boolean isExcluded(QueuedTicket queued, EndpointState endpoint, long nowNanos) {
    return queued.ticket().excludedEndpointIds().contains(endpoint.endpoint().id())
        || endpoint.isAvoidedBy(queued.key().instanceId(), nowNanos);
  }

  private PlacementScore score(
      QueuedTicket queued, EndpointState endpoint, boolean isScarce, long nowNanos) {
    return PlacementScore.of(
        queued,
        endpoint,
        expectedEvents(queued.ticket()),
        capacities.meanMillisPerToken(),
        isScarce,
        nowNanos);
  }

  /** Returns whether the fastest endpoint keeps more goals, even after a wait for a slot. */
  private boolean isBusyEndpointBetter(QueuedTicket queued, PlacementScore.Fit fit, long nowNanos) {
    return fastest
        .filter(endpoint -> !isExcluded(queued, endpoint, nowNanos))
        .filter(endpoint -> fitAfterWait(queued, endpoint, nowNanos).compareTo(fit) < 0)
        .isPresent();
  }

  private void grant(QueuedTicket queued, EndpointState endpoint, long nowNanos) {
    Ticket ticket = queued.ticket();
    double uncachedTokens = PlacementScore.uncachedTokens(ticket, endpoint, nowNanos);
    endpoint.onGranted(queued.key().instanceId(), ticket.promptPrefix(), nowNanos);
    remove(queued.key());
    grants.put(
        queued.key(),
        new Grant(
            endpoint.endpoint().id(),
            ticket,
            endpoint.running(),
            uncachedTokens,
            queued.goalMillis(nowNanos),
            nowNanos));
    shares.onStarted(ticket, nowNanos);
    waits.onStarted(nowNanos);
    granted++;
    add(queued, Decision.grant(ticket.number(), endpoint.endpoint().id()));
  }

  /** Refuses requests for which no slot can become free while they can still be answered. */
  private void refuseHopeless(List<QueuedTicket> candidates, long nowNanos) {
    for (QueuedTicket queued : candidates) {
      Ticket ticket = queued.ticket();
      boolean isWaiting = tickets.get(queued.key()) == queued;
      if (!isWaiting || ticket.hasBeenSent() || ticket.isContinuation()) {
        continue;
      }
      double usefulMillis = usefulWaitMillis(queued, nowNanos);
      if (usefulMillis <= 0) {
        ErrorKind reason =
            endpoints.isEmpty() ? ErrorKind.NO_ENDPOINT : ErrorKind.DEADLINE_UNREACHABLE;
        refuse(queued, reason, "no endpoint had a free slot in time", 0, nowNanos);
        continue;
      }
      boolean isFirstLook = !queued.isAdmitted();
      queued.markAdmitted();
      if (isFirstLook && !shares.coversWaiting(ticket, nowNanos)) {
        int ahead = ordered.indexOf(queued);
        double waitMillis = waits.expectedMillis(queued.position(), ahead, usableSlots, nowNanos);
        if (waitMillis > usefulMillis) {
          String detail = String.format("%d requests wait, %.0f ms expected", ahead, waitMillis);
          refuse(queued, ErrorKind.SHED, detail, waitMillis, nowNanos);
        }
      }
    }
  }

  private void refuse(
      QueuedTicket queued, ErrorKind reason, String detail, double waitMillis, long nowNanos) {
    remove(queued.key());
    refused++;
    double longestMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_SHARE * queued.deadlineMillis(nowNanos));
    // Jitter keeps callers that were refused together from retrying together.
    double jitter = 0.7 + 0.3 * random.nextDouble();
    double millis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(longestMillis, waitMillis)) * jitter;
    add(queued, Decision.refusal(queued.ticket().number(), reason, detail, (long) millis));
  }

  private void add(QueuedTicket queued, Decision decision) {
    decisions.computeIfAbsent(queued.key().instanceId(), id -> new ArrayList<>()).add(decision);
  }

  /** Returns the state of the queue in one line, for logs and the state dump. */
  public String describe() {
    int running = 0;
    for (EndpointState endpoint : endpoints.values()) {
      running += endpoint.running();
    }
    return "waiting="
        + tickets.size()
        + " running="
        + running
        + " slots="
        + slots
        + " endpoints="
        + endpoints.size()
        + " granted="
        + granted
        + " refused="
        + refused;
  }
}
