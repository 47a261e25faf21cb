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

/** Routes the requests of one service at one instance. */
final class ServiceRouter {
  /**
   * The run time that is allowed for, relative to the estimate. Requests of one route differ in
   * size; with 1.15 about 5% of prefill went to requests that ended after their deadline.
   */
  private static final double RUN_MARGIN = 1.5;

  /** How often an endpoint may refuse a request before the caller learns of it. */
  private static final int MAX_REFUSALS = 3;

  private static final long MEASURE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 60_000;

  /** A shed level stays for at least this long, so that an earlier repeat is refused again. */
  private static final long MIN_SHED_RETRY_MILLIS = 2_000;

  private final RoutingDependencies with;
  private final RoutingSettings settings;
  private final EndpointChooser chooser;
  private final WaitingQueue queue;
  private final ServiceRate rate = new ServiceRate();
  private final Map<String, Waiting> requests = new HashMap<>();
  private final LinkedHashMap<String, Waiting> held = new LinkedHashMap<>();
  private final LinkedHashMap<String, Waiting> late = new LinkedHashMap<>();
  private final LinkedHashMap<String, Waiting> suspects = new LinkedHashMap<>();
  private final TreeSet<Expiry> expiries = new TreeSet<>(Expiry.ORDER);
  private final Map<String, Set<String>> runningByEndpoint = new HashMap<>();
  private ServiceDeclaration service;
  private long statesRevision = -1;
  private int instances = 1;
  private long measureAtNanos;
  private long computedPrefillTokens;
  private long wastedPrefillTokens;

  private record Expiry(long atNanos, String requestId) {
    static final Comparator<Expiry> ORDER =
        (a, b) -> {
          int byTime = Long.signum(a.atNanos - b.atNanos);
          return byTime != 0 ? byTime : a.requestId.compareTo(b.requestId);
        };
  }

  ServiceRouter(ServiceDeclaration service, RoutingSettings settings, RoutingDependencies with) {
    this.with = with;
    this.settings = settings;
    this.queue = new WaitingQueue(settings.maxQueueBytes());
    this.chooser =
        new EndpointChooser(
            service.id(),
            with.costs(),
            with.prefixes(),
            with.limits(),
            with.versions(),
            settings.prefixBlockTokens());
    declare(service);
  }

  void declare(ServiceDeclaration declaration) {
    service = declaration;
    with.costs().declare(declaration);
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
    return queue.size() + held.size() + late.size() + suspects.size();
  }

  WaitingQueue queue() {
    return queue;
  }

  // Admission

  void submit(PendingRequest request, long nowNanos) {
    if (requests.containsKey(request.requestId())) {
      throw new IllegalArgumentException("request " + request.requestId() + " is held already");
    }
    Waiting waiting = admit(request);
    Optional<RequestException> refusal = refusalAtOnce(waiting, nowNanos);
    if (refusal.isPresent()) {
      with.dispatcher().refuse(request, refusal.get());
      return;
    }
    if (!with.shed().isReady(service.id(), nowNanos)) {
      passOnOrRefuse(waiting, ErrorKind.NOT_READY, "the shed level is not known yet", nowNanos);
      return;
    }
    if (with.quarantine().verdict(request.contentHash(), nowNanos) == Verdict.SUSPECT) {
      holdSuspect(waiting, nowNanos);
    } else if (isTooLate(waiting, nowNanos)) {
      refuseLate(waiting, nowNanos);
    } else {
      enqueue(waiting, nowNanos);
    }
    pump(nowNanos);
  }

  private Waiting admit(PendingRequest request) {
    RouteCost learned = with.costs().routeCost(request.serviceId(), request.routePath());
    RouteCost cost =
        request.promptTokens() > 0
            ? new RouteCost((double) request.promptTokens(), learned.decodeTokens())
            : learned;
    double runNanos = (double) chooser.bestRunNanos(cost).orElse(0L);
    long latestStartNanos = request.deadlineNanos() - (long) (RUN_MARGIN * runNanos);
    QueueEntry entry =
        new QueueEntry(
            request.requestId(),
            request.tier(),
            request.customerId(),
            request.customerWeight(),
            cost.costTokens(),
            latestStartNanos,
            request.sizeBytes());
    return new Waiting(request, cost, entry);
  }

  private Optional<RequestException> refusalAtOnce(Waiting waiting, long nowNanos) {
    PendingRequest request = waiting.request;
    if (with.quarantine().verdict(request.contentHash(), nowNanos) == Verdict.QUARANTINED) {
      return Optional.of(
          new RequestException(ErrorKind.QUARANTINED, "the content crashed an endpoint"));
    }
    if (with.shed().mustRefuse(service.id(), request.tier(), nowNanos)) {
      return Optional.of(
          new RequestException(
              ErrorKind.SHED,
              "tier " + request.tier() + " is shed",
              Math.max(MIN_SHED_RETRY_MILLIS, retryMillis(waiting))));
    }
    boolean hopeless = request.tier() != Tier.CRITICAL && isPast(waiting, nowNanos);
    if (hopeless) {
      // Even an idle endpoint would be too slow, so capacity is not the cause.
      return Optional.of(
          new RequestException(
              ErrorKind.DEADLINE_UNREACHABLE, "the deadline is shorter than the run time"));
    }
    return Optional.empty();
  }

  private boolean isTooLate(Waiting waiting, long nowNanos) {
    if (waiting.request.tier() == Tier.CRITICAL) {
      return false;
    }
    double waitNanos = estimatedWaitNanos(waiting);
    return nowNanos + (long) Math.min(waitNanos, 1e18) - waiting.entry.latestStartNanos() > 0;
  }

  private double estimatedWaitNanos(Waiting waiting) {
    PendingRequest request = waiting.request;
    double ahead =
        queue.tokensAhead(request.tier(), request.customerId(), request.customerWeight());
    return rate.waitNanos(request.tier(), ahead);
  }

  private static boolean isPast(Waiting waiting, long nowNanos) {
    return nowNanos - waiting.entry.latestStartNanos() > 0;
  }

  private void enqueue(Waiting waiting, long nowNanos) {
    ShedLevel level = with.shed().inForce(service.id(), nowNanos);
    WaitingQueue.Offer offer = queue.offer(waiting.entry, level);
    for (QueueEntry evicted : offer.evicted()) {
      Waiting loser = requests.get(evicted.requestId());
      passOnOrRefuse(loser, ErrorKind.QUEUE_FULL, "the queue is full", nowNanos);
    }
    if (offer.accepted()) {
      remember(waiting, Waiting.Place.QUEUED);
      expireLater(waiting, nowNanos);
    } else {
      overflow(waiting, nowNanos);
    }
  }

  /** Handles a request for which the queue has no room. */
  private void overflow(Waiting waiting, long nowNanos) {
    if (passOn(waiting, nowNanos)) {
      forget(waiting);
    } else if (mayShed(waiting, nowNanos)) {
      refuse(waiting, ErrorKind.QUEUE_FULL, "the queue is full");
    } else {
      remember(waiting, Waiting.Place.HELD);
      held.put(waiting.id(), waiting);
    }
  }

  /** Refuses a request that cannot end in time, or keeps it until a level permits that. */
  private void refuseLate(Waiting waiting, long nowNanos) {
    if (mayShed(waiting, nowNanos)) {
      refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, "the queue is too long for the deadline");
    } else if (!waiting.request.handedOver() && with.peers().handOver(waiting.request, nowNanos)) {
      forget(waiting);
    } else {
      remember(waiting, Waiting.Place.LATE);
      late.put(waiting.id(), waiting);
    }
  }

  /**
   * Returns whether a request may be refused for want of capacity, and asks for the level that
   * permits it. Nothing is below the lowest tier, so it needs no level.
   */
  private boolean mayShed(Waiting waiting, long nowNanos) {
    Tier tier = waiting.request.tier();
    with.shed().requestShedding(service.id(), tier, nowNanos);
    return tier == Tier.BULK || with.shed().inForce(service.id(), nowNanos).permitsShedding(tier);
  }

  // Suspects

  private void holdSuspect(Waiting waiting, long nowNanos) {
    if (suspects.size() >= settings.maxSuspects()) {
      refuse(waiting, ErrorKind.NO_ENDPOINT, "too many suspect requests wait to run alone");
      return;
    }
    remember(waiting, Waiting.Place.SUSPECT);
    suspects.put(waiting.id(), waiting);
    expireLater(waiting, nowNanos);
  }

  private void runSuspects(long nowNanos) {
    for (Waiting waiting : new ArrayList<>(suspects.values())) {
      String hash = waiting.request.contentHash();
      Verdict verdict = with.quarantine().verdict(hash, nowNanos);
      if (verdict == Verdict.QUARANTINED) {
        with.quarantine().endIsolation(hash, nowNanos);
        refuse(waiting, ErrorKind.QUARANTINED, "the content crashed an endpoint");
      } else if (verdict == Verdict.CLEAR) {
        with.quarantine().endIsolation(hash, nowNanos);
        suspects.remove(waiting.id());
        enqueue(waiting, nowNanos);
      }
    }
    if (!suspects.isEmpty()) {
      runFirstSuspect(suspects.values().iterator().next(), nowNanos);
    }
  }

  /** Reserves an endpoint for one suspect at a time, because a reserved endpoint runs no other. */
  private void runFirstSuspect(Waiting waiting, long nowNanos) {
    String hash = waiting.request.contentHash();
    Optional<String> reserved = with.quarantine().isolatedEndpoint(hash);
    if (reserved.isEmpty()) {
      Set<String> excluded = with.quarantine().reservedEndpoints(nowNanos);
      boolean anotherIsReserved = excluded.stream().anyMatch(chooser.budgets()::containsKey);
      if (!anotherIsReserved) {
        chooser
            .leastLoaded(excluded)
            .ifPresent(endpointId -> with.quarantine().isolate(hash, endpointId, nowNanos));
      }
      return;
    }
    String endpointId = reserved.get();
    boolean usable =
        chooser.stateOf(endpointId).map(EndpointState::acceptsNewRequests).orElse(false);
    if (!usable) {
      with.quarantine().endIsolation(hash, nowNanos);
    } else if (with.quarantine().hasExclusiveEndpoint(hash, nowNanos)
        && with.limits().tryAcquire(endpointId, nowNanos)) {
      suspects.remove(waiting.id());
      start(waiting, endpointId, 0, nowNanos);
    }
  }

  // Dispatch

  void pump(long nowNanos) {
    Set<String> reserved = with.quarantine().reservedEndpoints(nowNanos);
    while (true) {
      Optional<QueueEntry> head = queue.peek();
      if (head.isEmpty()) {
        return;
      }
      Waiting waiting = requests.get(head.get().requestId());
      if (!dispatchHead(waiting, reserved, nowNanos)) {
        return;
      }
    }
  }

  /** Handles the first request of the queue; returns false when it has to wait. */
  private boolean dispatchHead(Waiting waiting, Set<String> reserved, long nowNanos) {
    boolean canBeLate = waiting.request.tier() == Tier.CRITICAL;
    if (!canBeLate && isPast(waiting, nowNanos)) {
      queue.remove(waiting.id());
      refuseLate(waiting, nowNanos);
      return true;
    }
    Verdict verdict = with.quarantine().verdict(waiting.request.contentHash(), nowNanos);
    if (verdict != Verdict.CLEAR) {
      queue.remove(waiting.id());
      divert(waiting, verdict, nowNanos);
      return true;
    }
    Set<String> excluded = reserved;
    if (!waiting.refusedBy.isEmpty()) {
      excluded = new HashSet<>(reserved);
      excluded.addAll(waiting.refusedBy);
    }
    Optional<Candidate> chosen =
        chooser.choose(waiting.cost, waiting.request.prefixHashes(), excluded, nowNanos);
    if (chosen.isEmpty()) {
      return false;
    }
    Candidate candidate = chosen.get();
    double runNanos = RUN_MARGIN * (candidate.finishNanos() - nowNanos);
    boolean inTime = nowNanos + (long) runNanos - waiting.request.deadlineNanos() <= 0;
    if (!canBeLate && !inTime) {
      queue.remove(waiting.id());
      refuseLate(waiting, nowNanos);
      return true;
    }
    if (!with.limits().tryAcquire(candidate.endpointId(), nowNanos)) {
      return false;
    }
    queue.poll();
    rate.onDispatched(waiting.request.tier(), waiting.entry.costTokens());
    start(waiting, candidate.endpointId(), candidate.cachedTokens(), nowNanos);
    return true;
  }

  private void divert(Waiting waiting, Verdict verdict, long nowNanos) {
    if (verdict == Verdict.QUARANTINED) {
      refuse(waiting, ErrorKind.QUARANTINED, "the content crashed an endpoint");
    } else {
      holdSuspect(waiting, nowNanos);
    }
  }

  private void start(Waiting waiting, String endpointId, long cachedTokens, long nowNanos) {
    remember(waiting, Waiting.Place.RUNNING);
    waiting.endpointId = endpointId;
    waiting.version = chooser.versionOf(endpointId).orElse("");
    waiting.expectedCachedTokens = cachedTokens;
    runningByEndpoint.computeIfAbsent(endpointId, id -> new HashSet<>()).add(waiting.id());
    double prefill = Math.max(0, waiting.cost.prefillTokens() - cachedTokens);
    chooser.onStarted(endpointId, new RouteCost(prefill, waiting.cost.decodeTokens()), nowNanos);
    PendingRequest request = waiting.request;
    with.versions()
        .onDispatched(
            request.requestId(), service.id(), waiting.version, request.routePath(), nowNanos);
    with.health().onStarted(endpointId, nowNanos);
    with.quarantine().onStarted(endpointId, request.requestId(), request.contentHash());
    with.prefixes().onPrefilled(endpointId, request.prefixHashes());
    with.dispatcher().dispatch(request, endpointId);
  }

  // The end of requests

  void onCompleted(String requestId, RequestOutcome outcome, long nowNanos) {
    Waiting waiting = requests.get(requestId);
    if (waiting == null || waiting.place != Waiting.Place.RUNNING) {
      return;
    }
    String endpointId = waiting.endpointId;
    with.limits().release(endpointId, nowNanos);
    chooser.onFinished(endpointId);
    runningByEndpoint.getOrDefault(endpointId, new HashSet<>()).remove(requestId);
    with.health().onFinished(endpointId, nowNanos);
    with.versions().onCompleted(requestId, service.id(), waiting.version, outcome, nowNanos);
    countPrefill(waiting, outcome, nowNanos);
    requests.remove(requestId);
    learn(waiting, outcome, nowNanos);
    if (outcome.kind() == RequestOutcome.Kind.REFUSED) {
      retryElsewhere(waiting, nowNanos);
    }
    pump(nowNanos);
  }

  /** Forgets a request that waits; returns whether it did. */
  boolean onCancelled(String requestId, long nowNanos) {
    Waiting waiting = requests.get(requestId);
    if (waiting == null || waiting.place == Waiting.Place.RUNNING) {
      return false;
    }
    leaveWaitingPlace(waiting, nowNanos);
    forget(waiting);
    return true;
  }

  /** Refuses everything that waits, because the service is no longer declared. */
  void withdraw(long nowNanos) {
    for (Waiting waiting : List.copyOf(requests.values())) {
      if (waiting.place != Waiting.Place.RUNNING) {
        leaveWaitingPlace(waiting, nowNanos);
        refuse(waiting, ErrorKind.NO_ENDPOINT, "the service is no longer declared");
      }
    }
  }

  private void countPrefill(Waiting waiting, RequestOutcome outcome, long nowNanos) {
    computedPrefillTokens += outcome.computedPrefillTokens();
    boolean late = nowNanos - waiting.request.deadlineNanos() > 0;
    boolean useless = late && waiting.request.tier() != Tier.CRITICAL;
    if (outcome.kind() != RequestOutcome.Kind.SUCCEEDED || useless) {
      wastedPrefillTokens += outcome.computedPrefillTokens();
    }
  }

  private void learn(Waiting waiting, RequestOutcome outcome, long nowNanos) {
    PendingRequest request = waiting.request;
    String endpointId = waiting.endpointId;
    switch (outcome.kind()) {
      case SUCCEEDED -> {
        learnCost(waiting, outcome);
        with.health().onSuccess(endpointId, outcome.decodeNanosPerToken(), nowNanos);
        with.quarantine().onFinished(endpointId, request.requestId(), true, nowNanos);
      }
      case FAILED -> {
        with.health().onFailure(endpointId, nowNanos);
        with.quarantine().onFinished(endpointId, request.requestId(), false, nowNanos);
      }
      case CRASHED -> {
        with.quarantine().onCrash(endpointId, nowNanos);
        with.health().onCrash(endpointId, nowNanos);
        with.prefixes().forget(endpointId);
        chooser.suspend(endpointId);
      }
      default -> with.quarantine().onFinished(endpointId, request.requestId(), false, nowNanos);
    }
  }

  private void learnCost(Waiting waiting, RequestOutcome outcome) {
    PendingRequest request = waiting.request;
    RouteCost actual =
        new RouteCost((double) outcome.prefillTokens(), (double) outcome.decodeTokens());
    with.costs()
        .observeSize(
            request.serviceId(),
            request.routePath(),
            actual.prefillTokens(),
            actual.decodeTokens());
    with.costs().observePrefill(waiting.endpointId, outcome.prefillNanosPerToken());
    with.costs().observeDecode(waiting.endpointId, outcome.decodeNanosPerToken());
    with.prefixes()
        .onOutcome(
            waiting.endpointId,
            request.prefixHashes(),
            waiting.expectedCachedTokens,
            outcome.cachedTokens());
    queue.adjustCharge(waiting.entry, actual.costTokens());
  }

  /** The endpoint said that it did not run the request, so it may be dispatched again. */
  private void retryElsewhere(Waiting waiting, long nowNanos) {
    waiting.refusedBy.add(waiting.endpointId);
    boolean hopeless = waiting.request.tier() != Tier.CRITICAL && isPast(waiting, nowNanos);
    if (waiting.refusedBy.size() >= MAX_REFUSALS || hopeless) {
      refuse(waiting, ErrorKind.ENDPOINT_REFUSED, "the endpoint did not run the request");
    } else if (with.quarantine().verdict(waiting.request.contentHash(), nowNanos)
        == Verdict.SUSPECT) {
      holdSuspect(waiting, nowNanos);
    } else {
      enqueue(waiting, nowNanos);
    }
  }

  // Time

  void onTick(EndpointStates current, int newInstances, long nowNanos) {
    instances = Math.max(1, newInstances);
    if (current.revision() != statesRevision) {
      statesRevision = current.revision();
      chooser.update(current);
      askForMoves();
    }
    retryHeld(nowNanos);
    expire(nowNanos);
    runSuspects(nowNanos);
    pump(nowNanos);
    if (measureAtNanos - nowNanos <= 0) {
      measureAtNanos = nowNanos + MEASURE_NANOS;
      measure(nowNanos);
    }
  }

  private void retryHeld(long nowNanos) {
    for (Waiting waiting : new ArrayList<>(held.values())) {
      held.remove(waiting.id());
      enqueue(waiting, nowNanos);
    }
    for (Waiting waiting : new ArrayList<>(late.values())) {
      late.remove(waiting.id());
      refuseLate(waiting, nowNanos);
    }
  }

  private void expire(long nowNanos) {
    while (!expiries.isEmpty() && expiries.first().atNanos - nowNanos <= 0) {
      Waiting waiting = requests.get(expiries.pollFirst().requestId);
      if (waiting == null) {
        continue;
      }
      boolean queued = waiting.place == Waiting.Place.QUEUED;
      if (waiting.place == Waiting.Place.SUSPECT) {
        expireSuspect(waiting, nowNanos);
      } else if (queued && waiting.request.tier() == Tier.CRITICAL) {
        expireCritical(waiting, nowNanos);
      } else if (queued) {
        leaveWaitingPlace(waiting, nowNanos);
        refuseLate(waiting, nowNanos);
      }
    }
  }

  /** A suspect waits because it must run alone and not for capacity, so no level is asked for. */
  private void expireSuspect(Waiting waiting, long nowNanos) {
    long waitedNanos = nowNanos - waiting.request.arrivedNanos();
    boolean mayWaitOn =
        waiting.request.tier() == Tier.CRITICAL
            && (!isPast(waiting, nowNanos) || waitedNanos < maxWaitNanos(Tier.CRITICAL));
    if (mayWaitOn) {
      expiries.add(new Expiry(nowNanos + RECHECK_NANOS, waiting.id()));
    } else {
      leaveWaitingPlace(waiting, nowNanos);
      refuse(waiting, ErrorKind.NO_ENDPOINT, "no endpoint was free to run the request alone");
    }
  }

  private void expireCritical(Waiting waiting, long nowNanos) {
    long waitedNanos = nowNanos - waiting.request.arrivedNanos();
    if (waitedNanos < maxWaitNanos(Tier.CRITICAL)) {
      mayShed(waiting, nowNanos);
      expiries.add(new Expiry(nowNanos + RECHECK_NANOS, waiting.id()));
    } else if (!chooser.hasWorkingEndpoint()) {
      leaveWaitingPlace(waiting, nowNanos);
      refuse(waiting, ErrorKind.NO_ENDPOINT, "no endpoint returned within the longest wait");
    } else if (mayShed(waiting, nowNanos)) {
      leaveWaitingPlace(waiting, nowNanos);
      refuse(waiting, ErrorKind.SHED, "no endpoint was free within the longest wait");
    } else {
      expiries.add(new Expiry(nowNanos + RECHECK_NANOS, waiting.id()));
    }
  }

  private void leaveWaitingPlace(Waiting waiting, long nowNanos) {
    if (waiting.place == Waiting.Place.SUSPECT) {
      with.quarantine().endIsolation(waiting.request.contentHash(), nowNanos);
    }
    queue.remove(waiting.id());
    suspects.remove(waiting.id());
  }

  /** Half of the longest wait before a critical request is refused, its level is asked for. */
  private void expireLater(Waiting waiting, long nowNanos) {
    long atNanos = waiting.entry.latestStartNanos();
    if (waiting.request.tier() == Tier.CRITICAL) {
      atNanos = waiting.request.arrivedNanos() + maxWaitNanos(Tier.CRITICAL) / 2;
    }
    long soonest = nowNanos + 1;
    expiries.add(new Expiry(atNanos - soonest > 0 ? atNanos : soonest, waiting.id()));
  }

  private void askForMoves() {
    runningByEndpoint.values().removeIf(Set::isEmpty);
    for (Map.Entry<String, Set<String>> entry : runningByEndpoint.entrySet()) {
      boolean moves =
          chooser
              .stateOf(entry.getKey())
              .map(EndpointState::evacuatesRunningRequests)
              .orElse(false);
      for (String requestId : moves ? List.copyOf(entry.getValue()) : List.<String>of()) {
        Waiting waiting = requests.get(requestId);
        if (!waiting.moveAsked) {
          waiting.moveAsked = true;
          with.dispatcher().move(waiting.request, entry.getKey());
        }
      }
    }
  }

  private void measure(long nowNanos) {
    Map<String, Integer> budgets = chooser.budgets();
    rate.update(queue, capacityTokensPerNano(budgets), nowNanos);
    ShedLevel level = with.shed().inForce(service.id(), nowNanos);
    with.shed().observeWait(service.id(), isBelowLowWater(level), nowNanos);
    reportDemand(budgets, nowNanos);
  }

  /** The low-water mark is half of the longest wait of the tier that the level names. */
  private boolean isBelowLowWater(ShedLevel level) {
    Optional<Tier> tier = level.tier();
    return tier.isEmpty()
        || rate.waitNanos(tier.get(), queue.tokens(tier.get())) < maxWaitNanos(tier.get()) / 2.0;
  }

  private double capacityTokensPerNano(Map<String, Integer> budgets) {
    RouteCost usual = chooser.usualCost();
    double tokensPerNano = 0;
    for (Map.Entry<String, Integer> budget : budgets.entrySet()) {
      EndpointSpeed speed = with.costs().speed(budget.getKey());
      double runNanos = speed.runNanos(usual.prefillTokens(), usual.decodeTokens());
      tokensPerNano += budget.getValue() * usual.costTokens() / runNanos;
    }
    return tokensPerNano / instances;
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
      with.demand().onDemand(budget.getKey(), Math.min(budget.getValue(), wanted), nowNanos);
    }
  }

  // Bookkeeping

  private void passOnOrRefuse(Waiting waiting, ErrorKind kind, String detail, long nowNanos) {
    if (passOn(waiting, nowNanos)) {
      forget(waiting);
    } else {
      refuse(waiting, kind, detail);
    }
  }

  /** Offers a request to a peer once; a request that a peer handed over stays here. */
  private boolean passOn(Waiting waiting, long nowNanos) {
    if (waiting.offeredToPeer || waiting.request.handedOver()) {
      return false;
    }
    waiting.offeredToPeer = true;
    return with.peers().handOver(waiting.request, nowNanos);
  }

  private void refuse(Waiting waiting, ErrorKind kind, String detail) {
    long retryAfterMillis =
        kind.retryAdvice() == ErrorKind.RetryAdvice.AFTER_DELAY ? retryMillis(waiting) : 0;
    forget(waiting);
    with.dispatcher().refuse(waiting.request, new RequestException(kind, detail, retryAfterMillis));
  }

  private long retryMillis(Waiting waiting) {
    double waitMillis = estimatedWaitNanos(waiting) / 1e6;
    return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, waitMillis));
  }

  private void remember(Waiting waiting, Waiting.Place place) {
    waiting.place = place;
    requests.put(waiting.id(), waiting);
  }

  private void forget(Waiting waiting) {
    requests.remove(waiting.id());
    queue.remove(waiting.id());
    held.remove(waiting.id());
    late.remove(waiting.id());
    suspects.remove(waiting.id());
  }

  private long maxWaitNanos(Tier tier) {
    return TimeUnit.MILLISECONDS.toNanos(service.tier(tier).maxWaitMillis());
  }
}
