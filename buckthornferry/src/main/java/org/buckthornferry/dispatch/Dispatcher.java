package org.buckthornferry.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.catalog.Service.Reservations;
import org.buckthornferry.error.ErrorKind;

/**
 * Schedules the requests of one service: decides which request is sent to which endpoint and when.
 * Engines admit requests in the order of arrival, so priorities can take effect only here: requests
 * wait in the queue of the instance until an endpoint has a free slot.
 */
public final class Dispatcher {
  /** Returned by {@link #dispatch} when no further call is due. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * The additional delay per priority level before a full endpoint is retried, in milliseconds. It
   * lets higher-priority requests of other instances reserve the next slot first.
   */
  private static final long PRIORITY_DELAY_MILLIS = 15;

  /** The maximum number of priority levels that add delay; a longer delay leaves slots unused. */
  private static final int MAX_PRIORITY_STEPS = 3;

  /**
   * The longest backoff before a full endpoint is retried, in milliseconds per endpoint of the
   * service; it bounds the call rate of an instance for any number of endpoints.
   */
  private static final long FULL_BACKOFF_MILLIS_PER_ENDPOINT = 2;

  /**
   * With more instances than this, delays grow in proportion to their number, so that the total
   * rate of retries at a full endpoint does not depend on how many instances wait for it.
   */
  private static final int BASELINE_INSTANCES = 8;

  /** The maximum number of waiting requests; new requests beyond it are refused. */
  private static final int MAX_QUEUE_LENGTH = 512;

  /** Retry-After as a share of the time left to the deadline; a caller still retries after it. */
  private static final double RETRY_AFTER_SHARE = 0.32;

  /** The shortest queue wait limit, in milliseconds; several slots become free within it. */
  private static final long MIN_QUEUE_WAIT_MILLIS = 300;

  /** The queue wait limit of a caller's retry, as a share of its total time. */
  private static final double CALLER_RETRY_QUEUE_WAIT_SHARE = 0.25;

  /** The largest queue wait limit, as a share of a request's total time, whatever its goal. */
  private static final double MAX_QUEUE_WAIT_SHARE = 0.4;

  /** The shortest Retry-After, in milliseconds; about the time in which one slot is released. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * The additional Retry-After per priority level when all endpoints are paused, in milliseconds;
   * also the range of the jitter within one level.
   */
  private static final long PRIORITY_RETRY_AFTER_MILLIS = 150;

  /**
   * The maximum number of waiting requests per dispatch for which no endpoint is found; looking
   * past the first avoids head-of-line blocking.
   */
  private static final int MAX_FAILED_PLACEMENTS = 8;

  /**
   * How long after an answer requests are sent on open connections while new ones fail and no other
   * instance can forward them, in milliseconds.
   */
  private static final long OPEN_CONNECTION_TRUST_MILLIS = 1_000;

  /** How long slots count as scarce after an endpoint refused for lack of one, in milliseconds. */
  private static final long SCARCITY_MILLIS = 1_000;

  /**
   * The expected time until a request gets a slot at a full endpoint, in milliseconds; a few
   * requests end there within it.
   */
  private static final long EXPECTED_SLOT_WAIT_MILLIS = 80;

  /**
   * The largest expected cached share of a prompt with which the time to the first event still
   * counts as a speed sample.
   */
  private static final double MAX_CACHED_SHARE = 0.3;

  /**
   * The relative jitter of the expected time to the first event. Without it, instances with the
   * same measurements would all choose the same endpoint.
   */
  private static final double JITTER_SHARE = 0.05;

  /** The safety factor for expected answer lengths; one in five answers exceeds it. */
  private static final double LENGTH_MARGIN_FACTOR = 1.5;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final String selfId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final VersionPolicy versions;
  private final RateLimitPolicy rateLimits;
  private final EndpointNotices notices = new EndpointNotices();
  private final Map<String, EndpointLoad> endpoints = new HashMap<>();
  private final RequestQueue queue = new RequestQueue();
  private final AnswerLengths answerLengths = new AnswerLengths();
  private final PrefixCacheAffinity affinity = new PrefixCacheAffinity();
  private final PartitionDetector partitionDetector = new PartitionDetector();
  private final ForwardingPeers forwarders;
  private long answeredNanos = Long.MIN_VALUE / 2;
  private boolean wasCutOff;
  private Service service;
  private List<String> instanceIds = List.of();
  private long scarceUntilNanos = Long.MIN_VALUE / 2;
  private SpeedSummary speeds;
  private long placed;
  private long placedWithKnownSpeed;

  /** Creates a dispatcher without endpoints. */
  public Dispatcher(Service service, String selfId, String ownDomain, RandomGenerator random) {
    this(
        service,
        selfId,
        ownDomain,
        random,
        VersionPolicy.ANY,
        RateLimitPolicy.NONE,
        new ForwardingPeers(ownDomain, random));
  }

  /**
   * Creates a dispatcher without endpoints for a service that may have a canary version and
   * endpoints with a rate limit.
   *
   * @param forwarders the instances that reach the endpoints while this one is cut off from them
   */
  public Dispatcher(
      Service service,
      String selfId,
      String ownDomain,
      RandomGenerator random,
      VersionPolicy versions,
      RateLimitPolicy rateLimits,
      ForwardingPeers forwarders) {
    this.versions = versions;
    this.forwarders = forwarders;
    this.rateLimits = rateLimits;
    this.service = service;
    this.selfId = selfId;
    this.ownDomain = ownDomain;
    this.random = random;
  }

  /** Sets a new declaration of the service. */
  public void setService(Service newService) {
    service = newService;
  }

  /** Sets the live instances, which share the limits that apply to all of them together. */
  public void setInstances(List<String> newInstanceIds) {
    instanceIds = List.copyOf(newInstanceIds);
    affinity.setInstances(instanceIds.size());
  }

  /** Sets the endpoints that may get requests; running attempts at other endpoints continue. */
  public void setEndpoints(Collection<Endpoint> usable) {
    Map<String, EndpointLoad> before = new HashMap<>(endpoints);
    endpoints.clear();
    for (Endpoint endpoint : usable) {
      EndpointLoad load = before.get(endpoint.id());
      if (load == null || !load.endpoint().isSameProcess(endpoint)) {
        load = new EndpointLoad(endpoint);
      } else {
        load.update(endpoint);
      }
      endpoints.put(endpoint.id(), load);
    }
    speeds = null;
    partitionDetector.setEndpoints(Set.copyOf(endpoints.keySet()));
    affinity.setEndpoints(
        endpoints.keySet(), usable.stream().mapToInt(Endpoint::capacity).max().orElse(1));
  }

  /** Returns whether any endpoint may get requests. */
  public boolean hasEndpoints() {
    return !endpoints.isEmpty();
  }

  /** Returns the number of placements since the start, including refused reservations. */
  public long placed() {
    return placed;
  }

  /** Returns the number of placements on endpoints whose speed this instance has measured. */
  public long placedWithKnownSpeed() {
    return placedWithKnownSpeed;
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return queue.size();
  }

  /** Returns whether a new request would not take a slot from another one, as far as known. */
  public boolean hasFreeSlots(long nowNanos) {
    return queue.size() == 0 && scarceUntilNanos - nowNanos <= 0;
  }

  /** Returns whether this instance appears to be partitioned from the endpoints. */
  public boolean isPartitioned() {
    return partitionDetector.isPartitioned();
  }

  /** Records that a connection to an endpoint was established. */
  public void onConnected(String endpointId) {
    if (endpoints.containsKey(endpointId)) {
      partitionDetector.onConnected();
    }
  }

  /** Records that no connection to an endpoint could be established. */
  public void onConnectFailed(String endpointId, long nowNanos) {
    if (endpoints.containsKey(endpointId)) {
      partitionDetector.onConnectFailed(endpointId, nowNanos);
    }
  }

  /** Returns whether this instance cannot open connections to the endpoints. */
  public boolean isCutOff(long nowNanos) {
    return partitionDetector.isCutOff(nowNanos);
  }

  /**
   * Returns endpoints to which a connection shows whether this instance is cut off, those first
   * that are not known to be unreachable.
   */
  public List<Endpoint> reachabilityProbes(int count) {
    List<Endpoint> untried = new ArrayList<>();
    List<Endpoint> failed = new ArrayList<>();
    for (EndpointLoad load : endpoints.values()) {
      boolean hasFailed = partitionDetector.hasConnectFailed(load.endpoint().id());
      (hasFailed ? failed : untried).add(load.endpoint());
    }
    List<Endpoint> probes = new ArrayList<>();
    while (probes.size() < count && !(untried.isEmpty() && failed.isEmpty())) {
      List<Endpoint> candidates = untried.isEmpty() ? failed : untried;
      probes.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return probes;
  }

  /** Returns the number of endpoints that may get requests. */
  public int endpointCount() {
    return endpoints.size();
  }

  /** Records that an endpoint announced its shutdown; returns whether this was unknown. */
  public boolean onLeaving(Endpoint endpoint, long nowNanos) {
    return notices.onLeaving(endpoint, nowNanos);
  }

  /** Records that an endpoint asked this instance to send no requests for a time. */
  public void onPause(Endpoint endpoint, long millis, long nowNanos) {
    notices.onPause(endpoint, millis, nowNanos);
  }

  /** Returns whether an endpoint has neither announced its shutdown nor is paused. */
  public boolean acceptsRequests(Endpoint endpoint, long nowNanos) {
    return !notices.isLeaving(endpoint, nowNanos)
        && notices.pausedUntilNanos(endpoint, nowNanos) - nowNanos <= 0;
  }

  /** Returns whether each request to an endpoint needs a permit. */
  public boolean isLimited(Endpoint endpoint) {
    return rateLimits.hasLimits() && rateLimits.isLimited(endpoint.processKey());
  }

  /** Returns the number of requests of this instance that run at an endpoint or are on the way. */
  public int running(Endpoint endpoint) {
    return load(endpoint).map(EndpointLoad::running).orElse(0);
  }

  /** Records that an endpoint's rate limit does not permit a placed request for a time. */
  public void onHeldBack(Placement placement, long waitMillis, long nowNanos) {
    load(placement.endpoint())
        .ifPresent(load -> load.onHeldBack(placement.request().priority(), waitMillis, nowNanos));
  }

  /**
   * Returns how long all endpoints accept no request of a priority because of pauses and rate
   * limits, in milliseconds.
   */
  public long noneAcceptsMillis(Priority priority, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(acceptsAgainNanos(priority, nowNanos) - nowNanos);
  }

  /** Queues a request, or refuses it at once when its expected wait is too long. */
  public void submit(WaitingRequest request, long nowNanos) {
    boolean isNew = !request.isCounted();
    if (isNew) {
      if (answerLengths.isLong(request.routeName(), request.size().expectedOutputTokens())) {
        request.markLong();
      }
      queue.onArrival(request, nowNanos);
      affinity.onArrival(request.promptPrefix(), nowNanos);
    }
    if (queue.size() >= MAX_QUEUE_LENGTH) {
      refuse(request, ErrorKind.QUEUE_FULL, "too many requests wait", 0, nowNanos);
      return;
    }
    if (isUnreachable(nowNanos) && !isBoundToInstance(request)) {
      // While the instance is cut off, connections are probed instead of requests.
      if (isCutOff(nowNanos) || !partitionDetector.tryProbe(nowNanos)) {
        refusePartitioned(request, nowNanos);
        return;
      }
      request.markProbe();
    }
    int ahead = rateLimits.hasLimits() ? queue.ahead(request) : 0;
    if (refuseIfNoneAccepts(request, ahead, nowNanos)) {
      return;
    }
    // Refusing early leaves the caller time to try elsewhere.
    boolean isJudged = isNew && !isBoundToInstance(request) && !request.isHandedOver();
    double waitMillis = isJudged ? queue.expectedWaitMillis(request, nowNanos) : 0;
    if (waitMillis > maxQueueWaitMillis(request)) {
      refuse(
          request,
          ErrorKind.SHED,
          String.format("%d requests wait, %.0f ms expected", queue.size(), waitMillis),
          waitMillis,
          nowNanos);
      return;
    }
    queue.add(request, nowNanos);
  }

  /** Returns whether requests can be neither sent to the endpoints nor forwarded. */
  private boolean isUnreachable(long nowNanos) {
    boolean isPartitioned =
        partitionDetector.isPartitioned() || (isCutOff(nowNanos) && !hasAnsweredLately(nowNanos));
    return isPartitioned && !isForwarding(nowNanos);
  }

  /** Returns whether open connections still serve, although new ones may fail. */
  private boolean hasAnsweredLately(long nowNanos) {
    return nowNanos - answeredNanos < TimeUnit.MILLISECONDS.toNanos(OPEN_CONNECTION_TRUST_MILLIS);
  }

  /** Returns whether requests are passed on by other instances. */
  private boolean isForwarding(long nowNanos) {
    return isCutOff(nowNanos) && forwarders.hasUsable(nowNanos);
  }

  /** Removes a request from the queue; returns whether it was waiting. */
  public boolean remove(WaitingRequest request) {
    return queue.remove(request);
  }

  /** Records that a request is being sent, after any reservation it needed was granted. */
  public void onSent(Placement placement, long nowNanos) {
    queue.onStarted(placement.request(), nowNanos);
    if (placement.needsReservation()) {
      if (!placement.isForwarded()) {
        recordAnswer(nowNanos);
      }
      load(placement.endpoint()).ifPresent(EndpointLoad::onReserved);
    } else if (placement.needsPermit()) {
      load(placement.endpoint()).ifPresent(EndpointLoad::onPermitted);
    }
  }

  /** Records the arrival of the first event of an answer, or of a complete plain answer. */
  public void onFirstEvent(Placement placement, double millis) {
    speeds = null;
    WaitingRequest request = placement.request();
    double cachedTokens = affinity.cachedTokens(request.promptPrefix(), placement.endpoint().id());
    if (cachedTokens > MAX_CACHED_SHARE * request.size().promptTokens()) {
      // The time depends mostly on whether the prefix was cached, so it says little about speed.
      return;
    }
    load(placement.endpoint())
        .ifPresent(load -> load.speed().onFirstEvent(request.size().promptTokens(), millis));
  }

  /**
   * Records that a stream has ended normally.
   *
   * @param millis the time from its first event to its last
   */
  public void onStreamEnd(Placement placement, int events, double millis) {
    speeds = null;
    answerLengths.onAnswer(placement.request().size().expectedOutputTokens(), events);
    load(placement.endpoint()).ifPresent(load -> load.speed().onStream(events, millis));
  }

  /**
   * Records the end of an attempt.
   *
   * @param wasReserving whether the attempt ended while its slot reservation was pending
   */
  public void onAttemptEnded(
      Placement placement, boolean wasReserving, AttemptOutcome outcome, long nowNanos) {
    if (!placement.isForwarded()) {
      recordReachability(placement, outcome, nowNanos);
    }
    if (wasReserving) {
      versions.onWithdrawn(placement.request().routeName(), placement.endpoint().version());
    }
    if (outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.FULL_AND_CLOSING) {
      scarceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(SCARCITY_MILLIS);
    }
    load(placement.endpoint())
        .ifPresent(
            load ->
                load.onAttemptEnded(
                    wasReserving,
                    outcome,
                    0.75 + random.nextDouble() / 2,
                    (long) (instanceFactor() * FULL_BACKOFF_MILLIS_PER_ENDPOINT * endpoints.size()),
                    nowNanos));
  }

  private void recordReachability(Placement placement, AttemptOutcome outcome, long nowNanos) {
    switch (outcome) {
      case UNREACHABLE -> partitionDetector.onUnreachable(placement.endpoint().id(), nowNanos);
      case COMPLETED, FAILED, FULL, FULL_AND_CLOSING, MISDIRECTED -> recordAnswer(nowNanos);
      case SILENT, BROKEN, TIMED_OUT, CANCELLED, HELD_BACK, NOT_FORWARDED -> {}
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  private void recordAnswer(long nowNanos) {
    answeredNanos = nowNanos;
    partitionDetector.onAnswered();
  }

  /** Forgets failures of endpoints that are those of the path to them, when it is found cut. */
  private void applyCutOff(long nowNanos) {
    boolean isCutOff = isCutOff(nowNanos);
    if (isCutOff != wasCutOff) {
      wasCutOff = isCutOff;
      endpoints.values().forEach(load -> load.clearFailures(nowNanos));
    }
  }

  /**
   * Places or refuses the requests that are due and returns when to call again, or {@link #NEVER}.
   */
  public long dispatch(long nowNanos) {
    applyCutOff(nowNanos);
    refuseExpired(nowNanos);
    long nextNanos = queue.nextDueNanos(this::queueDeadlineNanos);
    double meanMillisPerEvent = speeds().millisPerEvent();
    List<WaitingRequest> ordered =
        queue.ordered(
            this::latestStartNanos,
            request -> (long) (expectedEvents(request) * meanMillisPerEvent * NANOS_PER_MILLI),
            nowNanos);
    int failedPlacements = 0;
    for (WaitingRequest request : ordered) {
      Choice choice = choose(request, nowNanos);
      if (choice.load == null) {
        nextNanos = Math.min(nextNanos, choice.nextNanos);
        failedPlacements++;
        if (failedPlacements >= MAX_FAILED_PLACEMENTS) {
          break;
        }
        continue;
      }
      place(request, choice.load, nowNanos);
    }
    return nextNanos;
  }

  /** Returns the expected time to the first event at the fastest endpoint, in milliseconds. */
  public double fastestFirstEventMillis(long promptTokens) {
    return speeds().bestMillisPerToken() * (promptTokens + SpeedEstimate.FIXED_COST_TOKENS);
  }

  private record Choice(EndpointLoad load, long nextNanos) {}

  /**
   * Returns whether a coordinator may choose the endpoint of a request. It knows nothing of rate
   * limits, canary versions and forwarding, which need decisions of this instance.
   */
  public boolean mayUseCoordinator(WaitingRequest request, long nowNanos) {
    boolean needsCanary =
        !isBoundToInstance(request)
            && versions.wantsCanaryRequest(request.routeName())
            && hasCanary();
    return !needsCanary
        && !rateLimits.hasLimits()
        && !isCutOff(nowNanos)
        && !isUnreachable(nowNanos);
  }

  private boolean hasCanary() {
    for (EndpointLoad load : endpoints.values()) {
      if (versions.isCanary(load.endpoint().version())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Places a request that does not wait in this queue on the endpoint that a coordinator has chosen
   * for it. Returns false if the endpoint may not be used.
   */
  public boolean placeAt(WaitingRequest request, String endpointId, long nowNanos) {
    EndpointLoad load = endpoints.get(endpointId);
    boolean isUsable =
        load != null
            && request.mayUse(endpointId)
            && load.mayTakeGranted(maxConnections(), nowNanos)
            && load.coldLimitNanos(service, selfId, instanceIds, nowNanos) - nowNanos <= 0
            && acceptsRequests(load.endpoint(), nowNanos)
            && versions.mayUse(load.endpoint().version())
            && !versions.isCanary(load.endpoint().version())
            && mayUseCoordinator(request, nowNanos);
    if (isUsable) {
      start(request, load, nowNanos);
    }
    return isUsable;
  }

  /** Returns the number of requests of this instance at each endpoint that has any. */
  public Map<String, Integer> runningByEndpoint() {
    Map<String, Integer> running = new HashMap<>();
    for (EndpointLoad load : endpoints.values()) {
      if (load.running() > 0) {
        running.put(load.endpoint().id(), load.running());
      }
    }
    return running;
  }

  private void place(WaitingRequest request, EndpointLoad load, long nowNanos) {
    // A request that has ended as a consequence of an earlier placement does not wait any more.
    if (queue.remove(request)) {
      start(request, load, nowNanos);
    }
  }

  private void start(WaitingRequest request, EndpointLoad load, long nowNanos) {
    placed++;
    placedWithKnownSpeed += load.speed().isKnown() ? 1 : 0;
    boolean needsPermit = needsPermit(load);
    // A reservation would be a second call to an endpoint that counts calls.
    long reservationMillis =
        needsPermit ? 0 : service.reservations().map(Reservations::durationMillis).orElse(0L);
    Placement placement =
        new Placement(
            request, load.endpoint(), reservationMillis, needsPermit, isForwarding(nowNanos));
    load.onPlaced(placement.needsGrant(), nowNanos);
    versions.onPlaced(request.routeName(), load.endpoint().version());
    request.listener().onPlaced(placement);
  }

  private Choice choose(WaitingRequest request, long nowNanos) {
    long priorityDelayNanos =
        request.isContinuation()
            ? 0
            : TimeUnit.MILLISECONDS.toNanos(
                (long)
                    (instanceFactor()
                        * PRIORITY_DELAY_MILLIS
                        * Math.min(MAX_PRIORITY_STEPS, request.priority().routePriority())));
    double meanMillisPerToken = speeds().millisPerToken();
    double expectedEvents = expectedEvents(request);
    double meanMillisPerEvent = expectedEvents > 0 ? speeds().millisPerEvent() : 0;
    double slackMillis = (request.goalNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    double remainingMillis = (request.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    boolean isScarce = nowNanos - scarceUntilNanos < 0;
    long nextNanos = NEVER;
    // Requests that have already waited at an endpoint are not delayed further by a canary.
    boolean wantsCanaryRequest =
        !isBoundToInstance(request) && versions.wantsCanaryRequest(request.routeName());
    EndpointLoad canary = null;
    EndpointLoad best = null;
    double bestScore = Double.MAX_VALUE;
    boolean isBestInTime = false;
    double busyFirstEventMillis = Double.MAX_VALUE;
    long busyAvailableNanos = NEVER;
    for (EndpointLoad load : endpoints.values()) {
      if (!request.mayUse(load.endpoint().id())
          || load.isGone()
          || notices.isLeaving(load.endpoint(), nowNanos)
          || !versions.mayUse(load.endpoint().version())) {
        continue;
      }
      long pausedUntilNanos = notices.pausedUntilNanos(load.endpoint(), nowNanos);
      if (pausedUntilNanos - nowNanos > 0) {
        nextNanos = Math.min(nextNanos, pausedUntilNanos);
        continue;
      }
      if (versions.isCanary(load.endpoint().version())) {
        canary =
            wantsCanaryRequest
                    && isAvailable(
                        availableNanos(load, request, priorityDelayNanos, nowNanos), nowNanos)
                ? busierOf(canary, load)
                : canary;
        continue;
      }
      double uncachedTokens =
          request.size().promptTokens()
              - affinity.cachedTokens(request.promptPrefix(), load.endpoint().id());
      double firstEventMillis = firstEventMillis(load, uncachedTokens, meanMillisPerToken);
      double ownMillisPerEvent = load.speed().millisPerEvent();
      double streamMillis =
          expectedEvents * (ownMillisPerEvent > 0 ? ownMillisPerEvent : meanMillisPerEvent);
      double completeMillis = firstEventMillis + LENGTH_MARGIN_FACTOR * streamMillis;
      long availableNanos = availableNanos(load, request, priorityDelayNanos, nowNanos);
      if (!isAvailable(availableNanos, nowNanos)) {
        nextNanos = Math.min(nextNanos, availableNanos);
        long waitMillis =
            Math.max(EXPECTED_SLOT_WAIT_MILLIS, heldBackMillis(load, request.priority(), nowNanos));
        boolean isInTimeAfterWait =
            firstEventMillis + waitMillis < slackMillis
                && completeMillis + waitMillis < remainingMillis;
        if (isInTimeAfterWait && !load.isSuspect() && firstEventMillis < busyFirstEventMillis) {
          busyFirstEventMillis = firstEventMillis;
          busyAvailableNanos = availableNanos;
        }
        continue;
      }
      double score =
          EndpointScore.score(
              firstEventMillis,
              slackMillis,
              load.speed().expectedMillisPerToken(meanMillisPerToken) / meanMillisPerToken,
              (uncachedTokens + SpeedEstimate.FIXED_COST_TOKENS)
                  / (request.size().promptTokens() + SpeedEstimate.FIXED_COST_TOKENS),
              !load.endpoint().failureDomain().equals(ownDomain),
              load.errorShare(),
              isScarce,
              completeMillis <= remainingMillis);
      if (score < bestScore) {
        best = load;
        bestScore = score;
        isBestInTime = firstEventMillis <= slackMillis && completeMillis <= remainingMillis;
      }
    }
    if (canary != null) {
      return new Choice(canary, nextNanos);
    }
    if (best != null && !isBestInTime && busyFirstEventMillis < Double.MAX_VALUE) {
      // Only an endpoint that is full now is fast enough, and its next slot is still in time.
      return new Choice(null, busyAvailableNanos == NEVER ? nextNanos : busyAvailableNanos);
    }
    return new Choice(best, nextNanos);
  }

  /**
   * Returns the endpoint with more running requests; ties are broken by id, so that all instances
   * choose the same one. Concentrating the few canary requests exposes faults that appear only
   * under load.
   */
  private static EndpointLoad busierOf(EndpointLoad one, EndpointLoad other) {
    if (one == null || other.running() > one.running()) {
      return other;
    }
    boolean hasSmallerId = other.endpoint().id().compareTo(one.endpoint().id()) < 0;
    return other.running() == one.running() && hasSmallerId ? other : one;
  }

  private static boolean isAvailable(long availableNanos, long nowNanos) {
    return availableNanos != NEVER && availableNanos - nowNanos <= 0;
  }

  /** Returns when an endpoint may get a request, or {@link #NEVER}. */
  private long availableNanos(
      EndpointLoad load, WaitingRequest request, long priorityDelayNanos, long nowNanos) {
    boolean needsPermit = needsPermit(load);
    if (!load.canTakeMore(maxRunning(load)) || (needsPermit && load.isAwaitingGrant())) {
      return NEVER;
    }
    long availableNanos =
        Math.max(
            load.availableNanos(priorityDelayNanos),
            load.coldLimitNanos(service, selfId, instanceIds, nowNanos));
    return needsPermit
        ? Math.max(availableNanos, load.heldBackUntilNanos(request.priority(), nowNanos))
        : availableNanos;
  }

  private boolean needsPermit(EndpointLoad load) {
    return rateLimits.hasLimits() && rateLimits.isLimited(load.processKey());
  }

  private long heldBackMillis(EndpointLoad load, Priority priority, long nowNanos) {
    return needsPermit(load)
        ? TimeUnit.NANOSECONDS.toMillis(load.heldBackUntilNanos(priority, nowNanos) - nowNanos)
        : 0;
  }

  private double firstEventMillis(
      EndpointLoad load, double uncachedTokens, double meanMillisPerToken) {
    double occupied = 1 + (double) load.running() / Math.max(1, load.endpoint().capacity());
    double jitter = 1 + JITTER_SHARE * (random.nextDouble() - 0.5);
    return jitter
        * occupied
        * load.speed().expectedFirstEventMillis(uncachedTokens, meanMillisPerToken);
  }

  /** Returns the expected number of events of the answer; 0 when unknown. */
  private double expectedEvents(WaitingRequest request) {
    return answerLengths.expectedEvents(request.size().expectedOutputTokens());
  }

  /** Returns the maximum number of concurrent requests of this instance at an endpoint. */
  private int maxRunning(EndpointLoad load) {
    int capacity = Math.max(1, load.endpoint().capacity());
    int instances = Math.max(1, instanceIds.size());
    int connections = maxConnections();
    if (service.reservations().isPresent()) {
      return Math.min(capacity, connections);
    }
    // Without reservations, instances share the slots without seeing each other's requests.
    int share = (int) Math.ceil(1.5 * capacity / instances);
    return Math.min(Math.min(capacity, connections), Math.max(2, share));
  }

  /** Returns this instance's part of the connections to an endpoint. */
  private int maxConnections() {
    return Math.max(1, service.maxConnections() / Math.max(1, instanceIds.size()));
  }

  private SpeedSummary speeds() {
    if (speeds == null) {
      speeds = SpeedSummary.of(endpoints.values());
    }
    return speeds;
  }

  private void refuseExpired(long nowNanos) {
    // A refusal may remove requests, or submit others.
    for (WaitingRequest request : queue.snapshot()) {
      if (isUnreachable(nowNanos) && !isBoundToInstance(request) && !request.isProbe()) {
        queue.remove(request);
        refusePartitioned(request, nowNanos);
      } else if (refuseIfNoneAccepts(request, 0, nowNanos)) {
        queue.remove(request);
      } else if (queueDeadlineNanos(request) - nowNanos <= 0) {
        queue.remove(request);
        ErrorKind reason = hasEndpoints() ? ErrorKind.DEADLINE_UNREACHABLE : ErrorKind.NO_ENDPOINT;
        refuse(
            request,
            reason,
            "no endpoint had a free slot in time",
            queue.expectedWaitMillis(request, nowNanos),
            nowNanos);
      }
    }
  }

  /**
   * Refuses a request when pauses and rate limits let no endpoint accept it before its queue
   * deadline. Retry-After points to the time when one does, with an additional delay for lower
   * priorities.
   *
   * @param ahead the number of waiting requests that get a permit first
   */
  private boolean refuseIfNoneAccepts(WaitingRequest request, int ahead, long nowNanos) {
    if (!notices.hasPauses(nowNanos) && !rateLimits.hasLimits()) {
      return false;
    }
    long untilNanos = acceptsAgainNanos(request.priority(), nowNanos);
    if (untilNanos - nowNanos > 0) {
      untilNanos += (long) (ahead * permitIntervalMillis() * NANOS_PER_MILLI);
    }
    if (untilNanos - Math.max(nowNanos, queueDeadlineNanos(request)) <= 0
        || isBoundToInstance(request)) {
      return false;
    }
    long waitMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos);
    long priorityMillis =
        PRIORITY_RETRY_AFTER_MILLIS
            * Math.min(MAX_PRIORITY_STEPS, request.priority().routePriority());
    long jitterMillis = (long) (PRIORITY_RETRY_AFTER_MILLIS * random.nextDouble());
    request
        .listener()
        .onRefused(
            ErrorKind.NO_ENDPOINT,
            "all endpoints want no requests for " + waitMillis + " ms",
            waitMillis + priorityMillis + jitterMillis);
    return true;
  }

  /**
   * Returns when the first endpoint accepts requests of a priority again; {@code nowNanos} when one
   * accepts them now or when there is none.
   */
  private long acceptsAgainNanos(Priority priority, long nowNanos) {
    long firstNanos = NEVER;
    for (EndpointLoad load : endpoints.values()) {
      boolean isRemaining = !load.isGone() && !notices.isLeaving(load.endpoint(), nowNanos);
      if (isRemaining) {
        long pausedUntilNanos = notices.pausedUntilNanos(load.endpoint(), nowNanos);
        long untilNanos =
            needsPermit(load)
                ? Math.max(pausedUntilNanos, load.heldBackUntilNanos(priority, nowNanos))
                : pausedUntilNanos;
        firstNanos = Math.min(firstNanos, untilNanos);
      }
    }
    return firstNanos == NEVER ? nowNanos : Math.max(nowNanos, firstNanos);
  }

  /** Returns the mean time between two permits of this instance; 0 when it waits for none. */
  private double permitIntervalMillis() {
    double permitsPerMilli = 0;
    for (EndpointLoad load : endpoints.values()) {
      if (needsPermit(load) && load.holdMillis() > 0) {
        permitsPerMilli += 1.0 / load.holdMillis();
      }
    }
    return permitsPerMilli > 0 ? 1 / permitsPerMilli : 0;
  }

  /** Returns whether a request has been sent or streamed, so that no other instance may run it. */
  private static boolean isBoundToInstance(WaitingRequest request) {
    return request.hasBeenSent() || request.isContinuation();
  }

  /** Refuses a request so that its caller retries at an instance that may reach the endpoints. */
  private void refusePartitioned(WaitingRequest request, long nowNanos) {
    refuse(request, ErrorKind.NO_ENDPOINT, "no endpoint can be reached from here", 0, nowNanos);
  }

  /** Returns the factor by which delays grow with the number of instances. */
  private double instanceFactor() {
    return Math.max(1, instanceIds.size() / (double) BASELINE_INSTANCES);
  }

  private long queueDeadlineNanos(WaitingRequest request) {
    if (request.isHandedOver() && !request.hasBeenSent()) {
      return Math.min(request.patienceNanos(), request.deadlineNanos())
          - (long) (fastestFirstEventMillis(request.size().promptTokens()) * NANOS_PER_MILLI);
    }
    return request.hasBeenSent()
        ? request.deadlineNanos()
        : request.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(maxQueueWaitMillis(request));
  }

  /**
   * Returns how long a request may wait in the queue: until its goal cannot be met, but at most a
   * share of its total time.
   */
  private long maxQueueWaitMillis(WaitingRequest request) {
    long totalMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - request.arrivalNanos());
    if (request.isCallerRetry()) {
      return (long) Math.max(MIN_QUEUE_WAIT_MILLIS, CALLER_RETRY_QUEUE_WAIT_SHARE * totalMillis);
    }
    long goalMillis = TimeUnit.NANOSECONDS.toMillis(request.goalNanos() - request.arrivalNanos());
    double onTimeMillis = goalMillis - fastestFirstEventMillis(request.size().promptTokens());
    double limitMillis = Math.min(onTimeMillis, MAX_QUEUE_WAIT_SHARE * totalMillis);
    return (long) Math.max(MIN_QUEUE_WAIT_MILLIS, limitMillis);
  }

  private long latestStartNanos(WaitingRequest request) {
    return request.goalNanos()
        - (long) (fastestFirstEventMillis(request.size().promptTokens()) * NANOS_PER_MILLI);
  }

  private void refuse(
      WaitingRequest request, ErrorKind reason, String detail, double waitMillis, long nowNanos) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
    double retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, RETRY_AFTER_SHARE * remainingMillis);
    // A caller that would be late anyway retries after the overload has had time to pass.
    double millis = waitMillis > 0 ? retryAfterMillis : MIN_RETRY_AFTER_MILLIS;
    // Jitter keeps callers that were refused together from retrying together.
    double jitter = 0.6 + 0.4 * random.nextDouble();
    request.listener().onRefused(reason, detail, (long) (millis * jitter));
  }

  private Optional<EndpointLoad> load(Endpoint endpoint) {
    EndpointLoad load = endpoints.get(endpoint.id());
    // The process of the attempt may have left or have been replaced under the same id.
    boolean isCurrent = load != null && load.endpoint().isSameProcess(endpoint);
    return isCurrent ? Optional.of(load) : Optional.empty();
  }

  /** Returns one line per endpoint for the state dump. */
  public List<String> describeEndpoints() {
    List<String> lines = new ArrayList<>();
    for (EndpointLoad load : endpoints.values()) {
      lines.add(
          load.endpoint().id()
              + " running="
              + load.running()
              + " millisPerToken="
              + load.speed().millisPerToken()
              + " errorShare="
              + load.errorShare()
              + " limited="
              + needsPermit(load)
              + " suspect="
              + load.isSuspect()
              + " gone="
              + load.isGone());
    }
    return lines;
  }
}
