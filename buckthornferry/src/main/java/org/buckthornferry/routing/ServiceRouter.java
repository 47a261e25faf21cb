package org.buckthornferry.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.QueueEntry;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.admission.WaitingQueue;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.endpoint.EndpointSpeed;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.endpoint.RouteCost;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

/** Queues and dispatches the requests of one service at one instance. */
final class ServiceRouter {
  /**
   * The planned run time relative to the estimate. Requests of one route differ in size: a factor
   * of 1.15 spent about 5% of prefill on requests that ended after their deadline.
   */
  private static final double RUN_TIME_MARGIN_FACTOR = 1.5;

  /** The refusals by endpoints after which a request fails. */
  private static final int MAX_ENDPOINT_REFUSALS = 3;

  private static final long MEASURE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long RECHECK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

  /** A shed level lasts at least this long, so an earlier retry would be refused again. */
  private static final long MIN_SHED_RETRY_AFTER_MILLIS = 2_000;

  private final RoutingDependencies dependencies;
  private final RoutingSettings settings;
  private final EndpointChooser chooser;
  private final WaitingQueue queue;
  private final DispatchRate rate = new DispatchRate();
  private final Map<String, TrackedRequest> requests = new HashMap<>();
  private final LinkedHashMap<String, TrackedRequest> overflow = new LinkedHashMap<>();
  private final LinkedHashMap<String, TrackedRequest> latePending = new LinkedHashMap<>();
  private final LinkedHashMap<String, TrackedRequest> suspects = new LinkedHashMap<>();
  private final TreeSet<Expiry> expiries = new TreeSet<>(Expiry.ORDER);
  private final Map<String, Set<String>> runningByEndpoint = new HashMap<>();
  private ServiceDeclaration service;
  private long statesRevision = -1;
  private int instanceCount = 1;
  private long nextMeasureNanos;
  private long computedPrefillTokens;
  private long wastedPrefillTokens;

  private record Expiry(long atNanos, String requestId) {
    static final Comparator<Expiry> ORDER =
        (a, b) -> {
          int byTime = Long.signum(a.atNanos - b.atNanos);
          return byTime != 0 ? byTime : a.requestId.compareTo(b.requestId);
        };
  }

  ServiceRouter(
      ServiceDeclaration service, RoutingSettings settings, RoutingDependencies dependencies) {
    this.dependencies = dependencies;
    this.settings = settings;
    this.queue = new WaitingQueue(settings.maxQueueBytes());
    this.chooser =
        new EndpointChooser(
            service.id(),
            dependencies.costs(),
            dependencies.prefixes(),
            dependencies.limits(),
            dependencies.versions(),
            settings.prefixBlockTokens());
    declare(service);
  }

  void declare(ServiceDeclaration declaration) {
    service = declaration;
    dependencies.costs().declare(declaration);
    chooser.declare(declaration);
    statesRevision = -1;
  }

  long computedPrefillTokens() {
    return computedPrefillTokens;
  }

  long wastedPrefillTokens() {
    return wastedPrefillTokens;
  }

  int waitingCount() {
    return queue.size() + overflow.size() + latePending.size() + suspects.size();
  }

  WaitingQueue queue() {
    return queue;
  }

  // Admission

  void submit(PendingRequest request, long nowNanos) {
    if (requests.containsKey(request.requestId())) {
      throw new IllegalArgumentException("request " + request.requestId() + " is already tracked");
    }
    TrackedRequest tracked = newTrackedRequest(request);
    Optional<RequestException> refusal = immediateRefusal(tracked, nowNanos);
    if (refusal.isPresent()) {
      dependencies.dispatcher().refuse(request, refusal.get());
      return;
    }
    if (!dependencies.shed().isReady(service.id(), nowNanos)) {
      offerToPeerOrRefuse(
          tracked, ErrorKind.NOT_READY, "the shed level is not known yet", nowNanos);
      return;
    }
    if (dependencies.quarantine().verdict(request.contentHash(), nowNanos) == Verdict.SUSPECT) {
      queueSuspect(tracked, nowNanos);
    } else if (wouldMissDeadline(tracked, nowNanos)) {
      refuseLate(tracked, nowNanos);
    } else {
      enqueue(tracked, nowNanos);
    }
    dispatchQueued(nowNanos);
  }

  private TrackedRequest newTrackedRequest(PendingRequest request) {
    RouteCost learned = dependencies.costs().routeCost(request.serviceId(), request.routePath());
    RouteCost cost =
        request.promptTokens() > 0
            ? new RouteCost((double) request.promptTokens(), learned.decodeTokens())
            : learned;
    double runNanos = (double) chooser.minRunNanos(cost).orElse(0L);
    long latestStartNanos = request.deadlineNanos() - (long) (RUN_TIME_MARGIN_FACTOR * runNanos);
    QueueEntry entry =
        new QueueEntry(
            request.requestId(),
            request.tier(),
            request.customerId(),
            request.customerWeight(),
            cost.costTokens(),
            latestStartNanos,
            request.sizeBytes());
    return new TrackedRequest(request, cost, entry);
  }

  private Optional<RequestException> immediateRefusal(TrackedRequest tracked, long nowNanos) {
    PendingRequest request = tracked.request;
    if (dependencies.quarantine().verdict(request.contentHash(), nowNanos) == Verdict.QUARANTINED) {
      return Optional.of(
          new RequestException(ErrorKind.QUARANTINED, "the content crashed an endpoint"));
    }
    if (dependencies.shed().mustRefuse(service.id(), request.tier(), nowNanos)) {
      return Optional.of(
          new RequestException(
              ErrorKind.SHED,
              "tier " + request.tier() + " is shed",
              Math.max(MIN_SHED_RETRY_AFTER_MILLIS, retryAfterMillis(tracked))));
    }
    boolean unreachable = request.tier() != Tier.CRITICAL && isPastLatestStart(tracked, nowNanos);
    if (unreachable) {
      // Even an idle endpoint would be too slow, so more capacity would not help.
      return Optional.of(
          new RequestException(
              ErrorKind.DEADLINE_UNREACHABLE, "the deadline is shorter than the run time"));
    }
    return Optional.empty();
  }

  private boolean wouldMissDeadline(TrackedRequest tracked, long nowNanos) {
    if (tracked.request.tier() == Tier.CRITICAL) {
      return false;
    }
    double waitNanos = estimatedWaitNanos(tracked);
    return nowNanos + (long) Math.min(waitNanos, 1e18) - tracked.entry.latestStartNanos() > 0;
  }

  private double estimatedWaitNanos(TrackedRequest tracked) {
    PendingRequest request = tracked.request;
    double ahead =
        queue.tokensAhead(request.tier(), request.customerId(), request.customerWeight());
    return rate.waitNanos(request.tier(), ahead);
  }

  private static boolean isPastLatestStart(TrackedRequest tracked, long nowNanos) {
    return nowNanos - tracked.entry.latestStartNanos() > 0;
  }

  private void enqueue(TrackedRequest tracked, long nowNanos) {
    ShedLevel level = dependencies.shed().inForce(service.id(), nowNanos);
    WaitingQueue.Offer offer = queue.offer(tracked.entry, level);
    for (QueueEntry evicted : offer.evicted()) {
      TrackedRequest evictedRequest = requests.get(evicted.requestId());
      offerToPeerOrRefuse(evictedRequest, ErrorKind.QUEUE_FULL, "the queue is full", nowNanos);
    }
    if (offer.accepted()) {
      track(tracked, TrackedRequest.State.QUEUED);
      scheduleExpiry(tracked, nowNanos);
    } else {
      handleOverflow(tracked, nowNanos);
    }
  }

  /** Handles a request that does not fit into the queue. */
  private void handleOverflow(TrackedRequest tracked, long nowNanos) {
    if (offerToPeer(tracked, nowNanos)) {
      untrack(tracked);
    } else if (mayShed(tracked, nowNanos)) {
      refuse(tracked, ErrorKind.QUEUE_FULL, "the queue is full");
    } else {
      track(tracked, TrackedRequest.State.OVERFLOW);
      overflow.put(tracked.id(), tracked);
    }
  }

  /**
   * Refuses a request that cannot meet its deadline, or keeps it until a shed level permits that.
   */
  private void refuseLate(TrackedRequest tracked, long nowNanos) {
    if (mayShed(tracked, nowNanos)) {
      refuse(tracked, ErrorKind.DEADLINE_UNREACHABLE, "the queue is too long for the deadline");
    } else if (!tracked.request.handedOver()
        && dependencies.peers().handOver(tracked.request, nowNanos)) {
      untrack(tracked);
    } else {
      track(tracked, TrackedRequest.State.LATE);
      latePending.put(tracked.id(), tracked);
    }
  }

  /**
   * Returns whether a request may be refused for lack of capacity, and requests the shed level that
   * permits it. The lowest tier needs no level, because no tier is shed before it.
   */
  private boolean mayShed(TrackedRequest tracked, long nowNanos) {
    Tier tier = tracked.request.tier();
    dependencies.shed().requestShedding(service.id(), tier, nowNanos);
    return tier == Tier.BULK
        || dependencies.shed().inForce(service.id(), nowNanos).permitsShedding(tier);
  }

  // Suspect requests

  private void queueSuspect(TrackedRequest tracked, long nowNanos) {
    if (suspects.size() >= settings.maxSuspects()) {
      refuse(tracked, ErrorKind.NO_ENDPOINT, "too many suspect requests wait to run alone");
      return;
    }
    track(tracked, TrackedRequest.State.SUSPECT);
    suspects.put(tracked.id(), tracked);
    scheduleExpiry(tracked, nowNanos);
  }

  private void runSuspects(long nowNanos) {
    for (TrackedRequest tracked : new ArrayList<>(suspects.values())) {
      String hash = tracked.request.contentHash();
      Verdict verdict = dependencies.quarantine().verdict(hash, nowNanos);
      if (verdict == Verdict.QUARANTINED) {
        dependencies.quarantine().endIsolation(hash, nowNanos);
        refuse(tracked, ErrorKind.QUARANTINED, "the content crashed an endpoint");
      } else if (verdict == Verdict.CLEAR) {
        dependencies.quarantine().endIsolation(hash, nowNanos);
        suspects.remove(tracked.id());
        enqueue(tracked, nowNanos);
      }
    }
    if (!suspects.isEmpty()) {
      runFirstSuspect(suspects.values().iterator().next(), nowNanos);
    }
  }

  /**
   * Reserves an endpoint for one suspect at a time, because a reserved endpoint runs nothing else.
   */
  private void runFirstSuspect(TrackedRequest tracked, long nowNanos) {
    String hash = tracked.request.contentHash();
    Optional<String> reserved = dependencies.quarantine().isolatedEndpoint(hash);
    if (reserved.isEmpty()) {
      Set<String> excluded = dependencies.quarantine().reservedEndpoints(nowNanos);
      boolean anotherIsReserved = excluded.stream().anyMatch(chooser.budgets()::containsKey);
      if (!anotherIsReserved) {
        chooser
            .leastLoaded(excluded)
            .ifPresent(endpointId -> dependencies.quarantine().isolate(hash, endpointId, nowNanos));
      }
      return;
    }
    String endpointId = reserved.get();
    boolean usable =
        chooser.stateOf(endpointId).map(EndpointState::acceptsNewRequests).orElse(false);
    if (!usable) {
      dependencies.quarantine().endIsolation(hash, nowNanos);
    } else if (dependencies.quarantine().hasExclusiveEndpoint(hash, nowNanos)
        && dependencies.limits().tryAcquire(endpointId, nowNanos)) {
      suspects.remove(tracked.id());
      start(tracked, endpointId, 0, nowNanos);
    }
  }

  // Dispatch

  void dispatchQueued(long nowNanos) {
    Set<String> reserved = dependencies.quarantine().reservedEndpoints(nowNanos);
    while (true) {
      Optional<QueueEntry> head = queue.peek();
      if (head.isEmpty()) {
        return;
      }
      TrackedRequest tracked = requests.get(head.get().requestId());
      if (!dispatchHead(tracked, reserved, nowNanos)) {
        return;
      }
    }
  }

  /** Handles the request at the head of the queue; returns false when it has to wait. */
  private boolean dispatchHead(TrackedRequest tracked, Set<String> reserved, long nowNanos) {
    boolean canBeLate = tracked.request.tier() == Tier.CRITICAL;
    if (!canBeLate && isPastLatestStart(tracked, nowNanos)) {
      queue.remove(tracked.id());
      refuseLate(tracked, nowNanos);
      return true;
    }
    Verdict verdict = dependencies.quarantine().verdict(tracked.request.contentHash(), nowNanos);
    if (verdict != Verdict.CLEAR) {
      queue.remove(tracked.id());
      divert(tracked, verdict, nowNanos);
      return true;
    }
    Set<String> excluded = reserved;
    if (!tracked.refusedBy.isEmpty()) {
      excluded = new HashSet<>(reserved);
      excluded.addAll(tracked.refusedBy);
    }
    Optional<Candidate> chosen =
        chooser.choose(tracked.cost, tracked.request.prefixHashes(), excluded, nowNanos);
    if (chosen.isEmpty()) {
      return false;
    }
    Candidate candidate = chosen.get();
    double runNanos = RUN_TIME_MARGIN_FACTOR * (candidate.finishNanos() - nowNanos);
    boolean inTime = nowNanos + (long) runNanos - tracked.request.deadlineNanos() <= 0;
    if (!canBeLate && !inTime) {
      queue.remove(tracked.id());
      refuseLate(tracked, nowNanos);
      return true;
    }
    if (!dependencies.limits().tryAcquire(candidate.endpointId(), nowNanos)) {
      return false;
    }
    queue.poll();
    rate.onDispatched(tracked.request.tier(), tracked.entry.costTokens());
    start(tracked, candidate.endpointId(), candidate.cachedTokens(), nowNanos);
    return true;
  }

  private void divert(TrackedRequest tracked, Verdict verdict, long nowNanos) {
    if (verdict == Verdict.QUARANTINED) {
      refuse(tracked, ErrorKind.QUARANTINED, "the content crashed an endpoint");
    } else {
      queueSuspect(tracked, nowNanos);
    }
  }

  private void start(TrackedRequest tracked, String endpointId, long cachedTokens, long nowNanos) {
    track(tracked, TrackedRequest.State.RUNNING);
    tracked.endpointId = endpointId;
    tracked.version = chooser.versionOf(endpointId).orElse("");
    tracked.expectedCachedTokens = cachedTokens;
    runningByEndpoint.computeIfAbsent(endpointId, id -> new HashSet<>()).add(tracked.id());
    double prefill = Math.max(0, tracked.cost.prefillTokens() - cachedTokens);
    chooser.onStarted(endpointId, new RouteCost(prefill, tracked.cost.decodeTokens()), nowNanos);
    PendingRequest request = tracked.request;
    dependencies
        .versions()
        .onDispatched(
            request.requestId(), service.id(), tracked.version, request.routePath(), nowNanos);
    dependencies.health().onStarted(endpointId, nowNanos);
    dependencies.quarantine().onStarted(endpointId, request.requestId(), request.contentHash());
    dependencies.prefixes().onPrefilled(endpointId, request.prefixHashes());
    dependencies.dispatcher().dispatch(request, endpointId);
  }

  // Request completion

  void onCompleted(String requestId, RequestOutcome outcome, long nowNanos) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked == null || tracked.state != TrackedRequest.State.RUNNING) {
      return;
    }
    String endpointId = tracked.endpointId;
    dependencies.limits().release(endpointId, nowNanos);
    chooser.onFinished(endpointId);
    runningByEndpoint.getOrDefault(endpointId, new HashSet<>()).remove(requestId);
    dependencies.health().onFinished(endpointId, nowNanos);
    dependencies
        .versions()
        .onCompleted(requestId, service.id(), tracked.version, outcome, nowNanos);
    countPrefill(tracked, outcome, nowNanos);
    requests.remove(requestId);
    recordOutcome(tracked, outcome, nowNanos);
    if (outcome.kind() == RequestOutcome.Kind.REFUSED) {
      retryElsewhere(tracked, nowNanos);
    }
    dispatchQueued(nowNanos);
  }

  /** Removes a waiting request; returns whether it was waiting. */
  boolean onCancelled(String requestId, long nowNanos) {
    TrackedRequest tracked = requests.get(requestId);
    if (tracked == null || tracked.state == TrackedRequest.State.RUNNING) {
      return false;
    }
    removeFromWaiting(tracked, nowNanos);
    untrack(tracked);
    return true;
  }

  /** Refuses every waiting request, because the service is no longer declared. */
  void refuseAllWaiting(long nowNanos) {
    for (TrackedRequest tracked : List.copyOf(requests.values())) {
      if (tracked.state != TrackedRequest.State.RUNNING) {
        removeFromWaiting(tracked, nowNanos);
        refuse(tracked, ErrorKind.NO_ENDPOINT, "the service is no longer declared");
      }
    }
  }

  private void countPrefill(TrackedRequest tracked, RequestOutcome outcome, long nowNanos) {
    computedPrefillTokens += outcome.computedPrefillTokens();
    boolean late = nowNanos - tracked.request.deadlineNanos() > 0;
    boolean useless = late && tracked.request.tier() != Tier.CRITICAL;
    if (outcome.kind() != RequestOutcome.Kind.SUCCEEDED || useless) {
      wastedPrefillTokens += outcome.computedPrefillTokens();
    }
  }

  private void recordOutcome(TrackedRequest tracked, RequestOutcome outcome, long nowNanos) {
    PendingRequest request = tracked.request;
    String endpointId = tracked.endpointId;
    switch (outcome.kind()) {
      case SUCCEEDED -> {
        recordCost(tracked, outcome);
        dependencies.health().onSuccess(endpointId, outcome.decodeNanosPerToken(), nowNanos);
        dependencies.quarantine().onFinished(endpointId, request.requestId(), true, nowNanos);
      }
      case FAILED -> {
        dependencies.health().onFailure(endpointId, nowNanos);
        dependencies.quarantine().onFinished(endpointId, request.requestId(), false, nowNanos);
      }
      case CRASHED -> {
        dependencies.quarantine().onCrash(endpointId, nowNanos);
        dependencies.health().onCrash(endpointId, nowNanos);
        dependencies.prefixes().forget(endpointId);
        chooser.suspend(endpointId);
      }
      default ->
          dependencies.quarantine().onFinished(endpointId, request.requestId(), false, nowNanos);
    }
  }

  private void recordCost(TrackedRequest tracked, RequestOutcome outcome) {
    PendingRequest request = tracked.request;
    RouteCost actual =
        new RouteCost((double) outcome.prefillTokens(), (double) outcome.decodeTokens());
    dependencies
        .costs()
        .observeSize(
            request.serviceId(),
            request.routePath(),
            actual.prefillTokens(),
            actual.decodeTokens());
    dependencies.costs().observePrefill(tracked.endpointId, outcome.prefillNanosPerToken());
    dependencies.costs().observeDecode(tracked.endpointId, outcome.decodeNanosPerToken());
    dependencies
        .prefixes()
        .onOutcome(
            tracked.endpointId,
            request.prefixHashes(),
            tracked.expectedCachedTokens,
            outcome.cachedTokens());
    queue.adjustCharge(tracked.entry, actual.costTokens());
  }

  /** Dispatches a request again; safe because the endpoint reported that it did not run it. */
  private void retryElsewhere(TrackedRequest tracked, long nowNanos) {
    tracked.refusedBy.add(tracked.endpointId);
    boolean unreachable =
        tracked.request.tier() != Tier.CRITICAL && isPastLatestStart(tracked, nowNanos);
    if (tracked.refusedBy.size() >= MAX_ENDPOINT_REFUSALS || unreachable) {
      refuse(tracked, ErrorKind.ENDPOINT_REFUSED, "the endpoint did not run the request");
    } else if (dependencies.quarantine().verdict(tracked.request.contentHash(), nowNanos)
        == Verdict.SUSPECT) {
      queueSuspect(tracked, nowNanos);
    } else {
      enqueue(tracked, nowNanos);
    }
  }

  // Timers

  void onTick(EndpointStates current, int newInstanceCount, long nowNanos) {
    instanceCount = Math.max(1, newInstanceCount);
    if (current.revision() != statesRevision) {
      statesRevision = current.revision();
      chooser.update(current);
      requestMoves();
    }
    retryPostponed(nowNanos);
    expire(nowNanos);
    runSuspects(nowNanos);
    dispatchQueued(nowNanos);
    if (nextMeasureNanos - nowNanos <= 0) {
      nextMeasureNanos = nowNanos + MEASURE_PERIOD_NANOS;
      measure(nowNanos);
    }
  }

  private void retryPostponed(long nowNanos) {
    for (TrackedRequest tracked : new ArrayList<>(overflow.values())) {
      overflow.remove(tracked.id());
      enqueue(tracked, nowNanos);
    }
    for (TrackedRequest tracked : new ArrayList<>(latePending.values())) {
      latePending.remove(tracked.id());
      refuseLate(tracked, nowNanos);
    }
  }

  private void expire(long nowNanos) {
    while (!expiries.isEmpty() && expiries.first().atNanos - nowNanos <= 0) {
      TrackedRequest tracked = requests.get(expiries.pollFirst().requestId);
      if (tracked == null) {
        continue;
      }
      boolean queued = tracked.state == TrackedRequest.State.QUEUED;
      if (tracked.state == TrackedRequest.State.SUSPECT) {
        expireSuspect(tracked, nowNanos);
      } else if (queued && tracked.request.tier() == Tier.CRITICAL) {
        expireCritical(tracked, nowNanos);
      } else if (queued) {
        removeFromWaiting(tracked, nowNanos);
        refuseLate(tracked, nowNanos);
      }
    }
  }

  /** Requests no shed level: a suspect waits for an exclusive endpoint, not for capacity. */
  private void expireSuspect(TrackedRequest tracked, long nowNanos) {
    long waitedNanos = nowNanos - tracked.request.arrivedNanos();
    boolean mayKeepWaiting =
        tracked.request.tier() == Tier.CRITICAL
            && (!isPastLatestStart(tracked, nowNanos) || waitedNanos < maxWaitNanos(Tier.CRITICAL));
    if (mayKeepWaiting) {
      expiries.add(new Expiry(nowNanos + RECHECK_DELAY_NANOS, tracked.id()));
    } else {
      removeFromWaiting(tracked, nowNanos);
      refuse(tracked, ErrorKind.NO_ENDPOINT, "no endpoint was free to run the request alone");
    }
  }

  private void expireCritical(TrackedRequest tracked, long nowNanos) {
    long waitedNanos = nowNanos - tracked.request.arrivedNanos();
    if (waitedNanos < maxWaitNanos(Tier.CRITICAL)) {
      mayShed(tracked, nowNanos);
      expiries.add(new Expiry(nowNanos + RECHECK_DELAY_NANOS, tracked.id()));
    } else if (!chooser.hasAcceptingEndpoint()) {
      removeFromWaiting(tracked, nowNanos);
      refuse(tracked, ErrorKind.NO_ENDPOINT, "no endpoint returned within the longest wait");
    } else if (mayShed(tracked, nowNanos)) {
      removeFromWaiting(tracked, nowNanos);
      refuse(tracked, ErrorKind.SHED, "no endpoint was free within the longest wait");
    } else {
      expiries.add(new Expiry(nowNanos + RECHECK_DELAY_NANOS, tracked.id()));
    }
  }

  private void removeFromWaiting(TrackedRequest tracked, long nowNanos) {
    if (tracked.state == TrackedRequest.State.SUSPECT) {
      dependencies.quarantine().endIsolation(tracked.request.contentHash(), nowNanos);
    }
    queue.remove(tracked.id());
    suspects.remove(tracked.id());
  }

  /**
   * Schedules the next expiry check. A critical request is first checked after half of its longest
   * wait, so that its shed level is requested well before it may be refused.
   */
  private void scheduleExpiry(TrackedRequest tracked, long nowNanos) {
    long atNanos = tracked.entry.latestStartNanos();
    if (tracked.request.tier() == Tier.CRITICAL) {
      atNanos = tracked.request.arrivedNanos() + maxWaitNanos(Tier.CRITICAL) / 2;
    }
    long soonest = nowNanos + 1;
    expiries.add(new Expiry(atNanos - soonest > 0 ? atNanos : soonest, tracked.id()));
  }

  private void requestMoves() {
    runningByEndpoint.values().removeIf(Set::isEmpty);
    for (Map.Entry<String, Set<String>> entry : runningByEndpoint.entrySet()) {
      boolean moves =
          chooser
              .stateOf(entry.getKey())
              .map(EndpointState::evacuatesRunningRequests)
              .orElse(false);
      for (String requestId : moves ? List.copyOf(entry.getValue()) : List.<String>of()) {
        TrackedRequest tracked = requests.get(requestId);
        if (!tracked.moveRequested) {
          tracked.moveRequested = true;
          dependencies.dispatcher().move(tracked.request, entry.getKey());
        }
      }
    }
  }

  private void measure(long nowNanos) {
    Map<String, Integer> budgets = chooser.budgets();
    rate.update(queue, capacityTokensPerNano(budgets), nowNanos);
    ShedLevel level = dependencies.shed().inForce(service.id(), nowNanos);
    dependencies.shed().observeWait(service.id(), isBelowLowWater(level), nowNanos);
    reportDemand(budgets, nowNanos);
  }

  /**
   * Returns whether the wait is below half of the maximum wait of the tier that the level names.
   */
  private boolean isBelowLowWater(ShedLevel level) {
    Optional<Tier> tier = level.tier();
    return tier.isEmpty()
        || rate.waitNanos(tier.get(), queue.tokens(tier.get())) < maxWaitNanos(tier.get()) / 2.0;
  }

  private double capacityTokensPerNano(Map<String, Integer> budgets) {
    RouteCost meanCost = chooser.meanCost();
    double tokensPerNano = 0;
    for (Map.Entry<String, Integer> budget : budgets.entrySet()) {
      EndpointSpeed speed = dependencies.costs().speed(budget.getKey());
      double runNanos = speed.runNanos(meanCost.prefillTokens(), meanCost.decodeTokens());
      tokensPerNano += budget.getValue() * meanCost.costTokens() / runNanos;
    }
    return tokensPerNano / instanceCount;
  }

  private void reportDemand(Map<String, Integer> budgets, long nowNanos) {
    int total = 0;
    for (int budget : budgets.values()) {
      total += budget;
    }
    for (Map.Entry<String, Integer> budget : budgets.entrySet()) {
      int running = runningByEndpoint.getOrDefault(budget.getKey(), Set.of()).size();
      double share = (double) budget.getValue() / Math.max(1, total);
      int wanted = running + 1 + (int) Math.ceil(waitingCount() * share);
      dependencies
          .demand()
          .onDemand(budget.getKey(), Math.min(budget.getValue(), wanted), nowNanos);
    }
  }

  // Tracking

  private void offerToPeerOrRefuse(
      TrackedRequest tracked, ErrorKind kind, String detail, long nowNanos) {
    if (offerToPeer(tracked, nowNanos)) {
      untrack(tracked);
    } else {
      refuse(tracked, kind, detail);
    }
  }

  /** Offers a request to a peer, once. A request that a peer handed over stays here. */
  private boolean offerToPeer(TrackedRequest tracked, long nowNanos) {
    if (tracked.offeredToPeer || tracked.request.handedOver()) {
      return false;
    }
    tracked.offeredToPeer = true;
    return dependencies.peers().handOver(tracked.request, nowNanos);
  }

  private void refuse(TrackedRequest tracked, ErrorKind kind, String detail) {
    long retryAfterMillis =
        kind.retryAdvice() == ErrorKind.RetryAdvice.AFTER_DELAY ? retryAfterMillis(tracked) : 0;
    untrack(tracked);
    dependencies
        .dispatcher()
        .refuse(tracked.request, new RequestException(kind, detail, retryAfterMillis));
  }

  private long retryAfterMillis(TrackedRequest tracked) {
    double waitMillis = estimatedWaitNanos(tracked) / 1e6;
    return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, waitMillis));
  }

  private void track(TrackedRequest tracked, TrackedRequest.State state) {
    tracked.state = state;
    requests.put(tracked.id(), tracked);
  }

  private void untrack(TrackedRequest tracked) {
    requests.remove(tracked.id());
    queue.remove(tracked.id());
    overflow.remove(tracked.id());
    latePending.remove(tracked.id());
    suspects.remove(tracked.id());
  }

  private long maxWaitNanos(Tier tier) {
    return TimeUnit.MILLISECONDS.toNanos(service.tier(tier).maxWaitMillis());
  }
}
