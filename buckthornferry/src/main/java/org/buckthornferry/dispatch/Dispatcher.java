package org.buckthornferry.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.catalog.Service.Reservations;
import org.buckthornferry.error.ErrorKind;

/**
 * Decides for one service which request goes to which endpoint and when. Engines admit requests in
 * the order of arrival, so the order is made here: requests wait in the instance until an endpoint
 * has a free slot.
 */
public final class Dispatcher {
  /** Returned by {@link #dispatch} when nothing is due. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * How much longer a request waits for each rank before it asks a full endpoint again, in
   * milliseconds; lets more important requests of other instances come first.
   */
  private static final long RANK_PAUSE_MILLIS = 15;

  /** The most such pauses; a longer one would leave slots unused. */
  private static final int MAX_RANK_PAUSES = 3;

  /**
   * The longest pause before a full endpoint is asked again, in milliseconds for each endpoint of
   * the service; bounds the calls of an instance however many endpoints there are.
   */
  private static final long FULL_MILLIS_PER_ENDPOINT = 2;

  /**
   * Pauses grow with the instances beyond this number, so that a full endpoint is asked equally
   * often however many instances wait for it.
   */
  private static final int FEW_INSTANCES = 8;

  /** The most waiting requests; beyond it the newest is refused. */
  private static final int MAX_WAITING = 512;

  /** The part of the time left after which a caller still comes back. */
  private static final double RETURN_SHARE = 0.32;

  /** How long a request waits at least, in milliseconds; several turns of a slot. */
  private static final long MIN_PATIENCE_MILLIS = 300;

  /** The part of the time left that a request waits whose caller has come back. */
  private static final double RETURNED_PATIENCE_SHARE = 0.25;

  /** The part of the time left that a request waits at most, whatever its goal. */
  private static final double MAX_PATIENCE_SHARE = 0.4;

  /** The shortest time to come back, in milliseconds; about one slot's turn. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * How much later callers come back for each rank when all endpoints want to be left alone, in
   * milliseconds, and how far those of a rank are spread.
   */
  private static final long RANK_RETURN_MILLIS = 150;

  /** How many waiting requests are tried when the first ones fit no free endpoint. */
  private static final int MAX_TRIED = 8;

  /** How long slots count as scarce after a refusal for lack of one, in milliseconds. */
  private static final long SCARCE_MILLIS = 1_000;

  /** How long a slot of a full endpoint takes to become free, in milliseconds; a few turns. */
  private static final long SLOT_WAIT_MILLIS = 80;

  /** Answers show speed as long as no more than this part of the prompt may have been kept. */
  private static final double MAX_GUESSED_SHARE = 0.3;

  /**
   * How far the expected time to the first event varies from one decision to the next. Instances
   * that know the same would otherwise all choose the same endpoint.
   */
  private static final double SPREAD_SHARE = 0.05;

  /** Expected lengths are often exceeded by this factor; one in five exceeds it further. */
  private static final double LENGTH_MARGIN = 1.5;

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final String selfId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final VersionPolicy versions;
  private final EndpointWishes wishes = new EndpointWishes();
  private final Map<String, EndpointLoad> endpoints = new HashMap<>();
  private final WaitingLine line = new WaitingLine();
  private final AnswerLengths lengths = new AnswerLengths();
  private final PromptAffinity affinity = new PromptAffinity();
  private final Reachability reachability = new Reachability();
  private Service service;
  private List<String> instanceIds = List.of();
  private long scarceUntilNanos = Long.MIN_VALUE / 2;
  private SpeedSummary speeds;
  private long placed;
  private long placedWithKnownSpeed;

  /** Creates a dispatcher without endpoints. */
  public Dispatcher(Service service, String selfId, String ownDomain, RandomGenerator random) {
    this(service, selfId, ownDomain, random, VersionPolicy.ANY);
  }

  /** Creates a dispatcher without endpoints for a service whose versions may be on trial. */
  public Dispatcher(
      Service service,
      String selfId,
      String ownDomain,
      RandomGenerator random,
      VersionPolicy versions) {
    this.versions = versions;
    this.service = service;
    this.selfId = selfId;
    this.ownDomain = ownDomain;
    this.random = random;
  }

  /** Takes over a new declaration of the service. */
  public void setService(Service newService) {
    service = newService;
  }

  /** Takes over the live instances, which share what is bounded over all of them. */
  public void setInstances(List<String> newInstanceIds) {
    instanceIds = List.copyOf(newInstanceIds);
    affinity.setInstances(instanceIds.size());
  }

  /** Takes over the endpoints that may get requests; attempts at others go on. */
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
    affinity.setEndpoints(
        endpoints.keySet(), usable.stream().mapToInt(Endpoint::capacity).max().orElse(1));
  }

  /** Returns whether any endpoint may get requests. */
  public boolean hasEndpoints() {
    return !endpoints.isEmpty();
  }

  /** Returns how often a request was sent to an endpoint, or a slot asked for, since the start. */
  public long placed() {
    return placed;
  }

  /** Returns how many of these decisions knew the endpoint's speed from own answers. */
  public long placedWithKnownSpeed() {
    return placedWithKnownSpeed;
  }

  /** Returns the number of waiting requests. */
  public int waiting() {
    return line.size();
  }

  /** Returns whether a request that comes now takes no slot from another one, as far as known. */
  public boolean hasFreeSlots(long nowNanos) {
    return line.size() == 0 && scarceUntilNanos - nowNanos <= 0;
  }

  /** Returns whether the endpoints seem to be out of reach of this instance. */
  public boolean isPartitioned() {
    return reachability.isPartitioned();
  }

  /** Returns the number of endpoints that may get requests. */
  public int endpointCount() {
    return endpoints.size();
  }

  /** An endpoint says that it leaves; returns whether that is news. */
  public boolean onLeaving(Endpoint endpoint, long nowNanos) {
    return wishes.onLeaving(endpoint, nowNanos);
  }

  /** An endpoint wants no request from this instance for a time. */
  public void onPause(Endpoint endpoint, long millis, long nowNanos) {
    wishes.onPause(endpoint, millis, nowNanos);
  }

  /** Returns whether an endpoint takes requests of this instance, as far as it has said. */
  public boolean acceptsRequests(Endpoint endpoint, long nowNanos) {
    return !wishes.isLeaving(endpoint, nowNanos)
        && wishes.pausedUntilNanos(endpoint, nowNanos) - nowNanos <= 0;
  }

  /** Returns for how long all endpoints want to be left alone, in milliseconds. */
  public long allPausedMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(allPausedUntilNanos(nowNanos) - nowNanos);
  }

  /** Adds a request to the line, or refuses it at once when it would wait for too long. */
  public void submit(WaitingRequest request, long nowNanos) {
    boolean isNew = !request.isCounted();
    if (isNew) {
      if (lengths.isLong(request.routeName(), request.size().expectedOutputTokens())) {
        request.markLong();
      }
      line.onArrival(request, nowNanos);
      affinity.onArrival(request.sharedPrompt(), nowNanos);
    }
    if (line.size() >= MAX_WAITING) {
      refuse(request, ErrorKind.QUEUE_FULL, "too many requests wait", 0, nowNanos);
      return;
    }
    if (reachability.isPartitioned() && !mustStay(request)) {
      if (!reachability.tryProbe(nowNanos)) {
        refuseCutOff(request, nowNanos);
        return;
      }
      request.markProbe();
    }
    if (refuseWhilePaused(request, nowNanos)) {
      return;
    }
    // A caller that learns at once that it would be late can use its time elsewhere.
    double waitMillis = isNew ? line.expectedWaitMillis(request, nowNanos) : 0;
    if (waitMillis > patienceMillis(request)) {
      refuse(
          request,
          ErrorKind.SHED,
          String.format("%d requests wait, %.0f ms expected", line.size(), waitMillis),
          waitMillis,
          nowNanos);
      return;
    }
    line.add(request, nowNanos);
  }

  /** Removes a request that waits no longer; returns whether it was waiting. */
  public boolean remove(WaitingRequest request) {
    return line.remove(request);
  }

  /** The request is being sent, after its slot was granted where one had to be reserved. */
  public void onSent(Placement placement, long nowNanos) {
    line.onStarted(placement.request(), nowNanos);
    if (placement.needsReservation()) {
      reachability.onAnswered();
      load(placement).ifPresent(EndpointLoad::onReserved);
    }
  }

  /** The first event of an answer, or a whole plain answer, has arrived. */
  public void onFirstEvent(Placement placement, double millis) {
    speeds = null;
    WaitingRequest request = placement.request();
    double keptTokens = affinity.keptTokens(request.sharedPrompt(), placement.endpoint().id());
    if (keptTokens > MAX_GUESSED_SHARE * request.size().promptTokens()) {
      // Whether the endpoint has read these tokens decides the time; it says little of its speed.
      return;
    }
    load(placement)
        .ifPresent(load -> load.speed().onFirstEvent(request.size().promptTokens(), millis));
  }

  /**
   * A stream has ended as it should.
   *
   * @param millis from its first event to its last
   */
  public void onStreamEnd(Placement placement, int events, double millis) {
    speeds = null;
    lengths.onAnswer(placement.request().size().expectedOutputTokens(), events);
    load(placement).ifPresent(load -> load.speed().onStream(events, millis));
  }

  /**
   * An attempt has ended.
   *
   * @param wasReserving whether no slot had been granted yet
   */
  public void onAttemptEnded(
      Placement placement, boolean wasReserving, AttemptOutcome outcome, long nowNanos) {
    switch (outcome) {
      case UNREACHABLE -> reachability.onUnreachable(placement.endpoint().id(), nowNanos);
      case COMPLETED, FAILED, FULL, FULL_AND_CLOSING, MISDIRECTED -> reachability.onAnswered();
      case BROKEN, TIMED_OUT, CANCELLED -> {}
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
    if (wasReserving) {
      versions.onWithdrawn(placement.request().routeName(), placement.endpoint().version());
    }
    if (outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.FULL_AND_CLOSING) {
      scarceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(SCARCE_MILLIS);
    }
    load(placement)
        .ifPresent(
            load ->
                load.onAttemptEnded(
                    wasReserving,
                    outcome,
                    0.75 + random.nextDouble() / 2,
                    (long) (crowding() * FULL_MILLIS_PER_ENDPOINT * endpoints.size()),
                    nowNanos));
  }

  /** Places and refuses what is due and returns when to look again, or {@link #NEVER}. */
  public long dispatch(long nowNanos) {
    refuseHopeless(nowNanos);
    long nextNanos = line.nextDueNanos(this::patienceEndNanos);
    double commonMillisPerEvent = speeds().millisPerEvent();
    List<WaitingRequest> ordered =
        line.ordered(
            this::latestStartNanos,
            request -> (long) (events(request) * commonMillisPerEvent * NANOS_PER_MILLI),
            nowNanos);
    int failed = 0;
    for (WaitingRequest request : ordered) {
      Choice choice = choose(request, nowNanos);
      if (choice.load == null) {
        nextNanos = Math.min(nextNanos, choice.nextNanos);
        failed++;
        if (failed >= MAX_TRIED) {
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
    return speeds().bestMillisPerToken() * (promptTokens + SpeedEstimate.FIXED_TOKENS);
  }

  private record Choice(EndpointLoad load, long nextNanos) {}

  private void place(WaitingRequest request, EndpointLoad load, long nowNanos) {
    placed++;
    placedWithKnownSpeed += load.speed().isKnown() ? 1 : 0;
    line.remove(request);
    long reservationMillis = service.reservations().map(Reservations::durationMillis).orElse(0L);
    load.onPlaced(reservationMillis > 0, nowNanos);
    versions.onPlaced(request.routeName(), load.endpoint().version());
    request.listener().onPlaced(new Placement(request, load.endpoint(), reservationMillis));
  }

  private Choice choose(WaitingRequest request, long nowNanos) {
    long rankPauseNanos =
        request.isContinuation()
            ? 0
            : TimeUnit.MILLISECONDS.toNanos(
                (long)
                    (crowding()
                        * RANK_PAUSE_MILLIS
                        * Math.min(MAX_RANK_PAUSES, request.priority().routePriority())));
    double common = speeds().millisPerToken();
    double events = events(request);
    double commonMillisPerEvent = events > 0 ? speeds().millisPerEvent() : 0;
    double slackMillis = (request.goalNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    double leftMillis = (request.deadlineNanos() - nowNanos) / (double) NANOS_PER_MILLI;
    boolean isScarce = nowNanos - scarceUntilNanos < 0;
    long nextNanos = NEVER;
    // Whoever has waited at an endpoint already is not kept waiting by a version on trial.
    boolean wantsCanaryRequest =
        !mustStay(request) && versions.wantsCanaryRequest(request.routeName());
    EndpointLoad onTrial = null;
    EndpointLoad best = null;
    double bestScore = Double.MAX_VALUE;
    boolean isBestInTime = false;
    double busyFirstMillis = Double.MAX_VALUE;
    long busyFreeNanos = NEVER;
    for (EndpointLoad load : endpoints.values()) {
      if (!request.mayUse(load.endpoint().id())
          || load.isGone()
          || wishes.isLeaving(load.endpoint(), nowNanos)
          || !versions.mayUse(load.endpoint().version())) {
        continue;
      }
      long pausedUntilNanos = wishes.pausedUntilNanos(load.endpoint(), nowNanos);
      if (pausedUntilNanos - nowNanos > 0) {
        nextNanos = Math.min(nextNanos, pausedUntilNanos);
        continue;
      }
      if (versions.isCanary(load.endpoint().version())) {
        onTrial =
            wantsCanaryRequest && isFree(freeNanos(load, rankPauseNanos, nowNanos), nowNanos)
                ? busierOf(onTrial, load)
                : onTrial;
        continue;
      }
      double tokensToRead =
          request.size().promptTokens()
              - affinity.keptTokens(request.sharedPrompt(), load.endpoint().id());
      double firstMillis = firstMillis(load, tokensToRead, common);
      double ownMillisPerEvent = load.speed().millisPerEvent();
      double streamMillis =
          events * (ownMillisPerEvent > 0 ? ownMillisPerEvent : commonMillisPerEvent);
      double wholeMillis = firstMillis + LENGTH_MARGIN * streamMillis;
      long freeNanos = freeNanos(load, rankPauseNanos, nowNanos);
      if (!isFree(freeNanos, nowNanos)) {
        nextNanos = Math.min(nextNanos, freeNanos);
        boolean isInTimeLater =
            firstMillis + SLOT_WAIT_MILLIS < slackMillis
                && wholeMillis + SLOT_WAIT_MILLIS < leftMillis;
        if (isInTimeLater && !load.isSuspect() && firstMillis < busyFirstMillis) {
          busyFirstMillis = firstMillis;
          busyFreeNanos = freeNanos;
        }
        continue;
      }
      double score =
          EndpointPreference.score(
              firstMillis,
              slackMillis,
              load.speed().expectedMillisPerToken(common) / common,
              (tokensToRead + SpeedEstimate.FIXED_TOKENS)
                  / (request.size().promptTokens() + SpeedEstimate.FIXED_TOKENS),
              !load.endpoint().failureDomain().equals(ownDomain),
              load.errorShare(),
              isScarce,
              wholeMillis <= leftMillis);
      if (score < bestScore) {
        best = load;
        bestScore = score;
        isBestInTime = firstMillis <= slackMillis && wholeMillis <= leftMillis;
      }
    }
    if (onTrial != null) {
      return new Choice(onTrial, nextNanos);
    }
    if (best != null && !isBestInTime && busyFirstMillis < Double.MAX_VALUE) {
      // Only an endpoint that is full now is fast enough; its next slot still comes in time.
      return new Choice(null, busyFreeNanos == NEVER ? nextNanos : busyFreeNanos);
    }
    return new Choice(best, nextNanos);
  }

  /**
   * Returns the endpoint with more requests, of equals the one that all instances agree on. Faults
   * that show only under load show in a trial when its few requests meet.
   */
  private static EndpointLoad busierOf(EndpointLoad one, EndpointLoad other) {
    if (one == null || other.running() > one.running()) {
      return other;
    }
    boolean isBefore = other.endpoint().id().compareTo(one.endpoint().id()) < 0;
    return other.running() == one.running() && isBefore ? other : one;
  }

  private static boolean isFree(long freeNanos, long nowNanos) {
    return freeNanos != NEVER && freeNanos - nowNanos <= 0;
  }

  /** Returns when an endpoint may take one more request, or {@link #NEVER}. */
  private long freeNanos(EndpointLoad load, long rankPauseNanos, long nowNanos) {
    if (!load.hasRoom(ownLimit(load))) {
      return NEVER;
    }
    return Math.max(
        load.freeNanos(rankPauseNanos),
        load.warmEnoughNanos(service, selfId, instanceIds, nowNanos));
  }

  private double firstMillis(EndpointLoad load, double tokensToRead, double common) {
    double occupied = 1 + (double) load.running() / Math.max(1, load.endpoint().capacity());
    double spread = 1 + SPREAD_SHARE * (random.nextDouble() - 0.5);
    return spread * occupied * load.speed().expectedFirstMillis(tokensToRead, common);
  }

  /** Returns the expected number of events of the answer; 0 when nothing is known. */
  private double events(WaitingRequest request) {
    return lengths.expectedEvents(request.size().expectedOutputTokens());
  }

  /** Returns how many requests this instance runs at an endpoint at once. */
  private int ownLimit(EndpointLoad load) {
    int capacity = Math.max(1, load.endpoint().capacity());
    if (service.reservations().isPresent()) {
      return capacity;
    }
    // Without reservations several instances share the slots unseen.
    int share = (int) Math.ceil(1.5 * capacity / Math.max(1, instanceIds.size()));
    return Math.min(capacity, Math.max(2, share));
  }

  private SpeedSummary speeds() {
    if (speeds == null) {
      speeds = SpeedSummary.of(endpoints.values());
    }
    return speeds;
  }

  private void refuseHopeless(long nowNanos) {
    for (Iterator<WaitingRequest> requests = line.iterator(); requests.hasNext(); ) {
      WaitingRequest request = requests.next();
      if (reachability.isPartitioned() && !mustStay(request) && !request.isProbe()) {
        requests.remove();
        refuseCutOff(request, nowNanos);
      } else if (refuseWhilePaused(request, nowNanos)) {
        requests.remove();
      } else if (patienceEndNanos(request) - nowNanos <= 0) {
        requests.remove();
        ErrorKind reason = hasEndpoints() ? ErrorKind.DEADLINE_UNREACHABLE : ErrorKind.NO_ENDPOINT;
        refuse(
            request,
            reason,
            "no endpoint had a free slot in time",
            line.expectedWaitMillis(request, nowNanos),
            nowNanos);
      }
    }
  }

  /**
   * Refuses a request when all endpoints want to be left alone beyond its patience. Callers come
   * back when the first one takes requests again, the important ones before the others.
   */
  private boolean refuseWhilePaused(WaitingRequest request, long nowNanos) {
    if (!wishes.hasPauses(nowNanos)) {
      return false;
    }
    long untilNanos = allPausedUntilNanos(nowNanos);
    if (untilNanos - Math.max(nowNanos, patienceEndNanos(request)) <= 0 || mustStay(request)) {
      return false;
    }
    long pauseMillis = allPausedMillis(nowNanos);
    long rankMillis =
        RANK_RETURN_MILLIS * Math.min(MAX_RANK_PAUSES, request.priority().routePriority());
    long spreadMillis = (long) (RANK_RETURN_MILLIS * random.nextDouble());
    request
        .listener()
        .onRefused(
            ErrorKind.NO_ENDPOINT,
            "all endpoints want no requests for " + pauseMillis + " ms",
            pauseMillis + rankMillis + spreadMillis);
    return true;
  }

  /** Returns when the first of the endpoints ends its pause; the past unless all have one. */
  private long allPausedUntilNanos(long nowNanos) {
    long firstNanos = NEVER;
    for (EndpointLoad load : endpoints.values()) {
      boolean isLeft = !load.isGone() && !wishes.isLeaving(load.endpoint(), nowNanos);
      if (isLeft) {
        long untilNanos = wishes.pausedUntilNanos(load.endpoint(), nowNanos);
        firstNanos = Math.min(firstNanos, untilNanos);
      }
    }
    return firstNanos == NEVER ? nowNanos : firstNanos;
  }

  /** Another instance cannot take over a request that has been sent or a stream that has begun. */
  private static boolean mustStay(WaitingRequest request) {
    return request.hasBeenSent() || request.isContinuation();
  }

  /** Another instance, at which the caller tries next, may reach the endpoints. */
  private void refuseCutOff(WaitingRequest request, long nowNanos) {
    refuse(request, ErrorKind.NO_ENDPOINT, "no endpoint can be reached from here", 0, nowNanos);
  }

  /** Returns by how many times there are more instances than few. */
  private double crowding() {
    return Math.max(1, instanceIds.size() / (double) FEW_INSTANCES);
  }

  private long patienceEndNanos(WaitingRequest request) {
    return request.hasBeenSent()
        ? request.deadlineNanos()
        : request.arrivalNanos() + TimeUnit.MILLISECONDS.toNanos(patienceMillis(request));
  }

  /** Returns how long a request waits: until it would be late, or for a part of its time. */
  private long patienceMillis(WaitingRequest request) {
    long totalMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - request.arrivalNanos());
    if (request.isCallerRetry()) {
      return (long) Math.max(MIN_PATIENCE_MILLIS, RETURNED_PATIENCE_SHARE * totalMillis);
    }
    long goalMillis = TimeUnit.NANOSECONDS.toMillis(request.goalNanos() - request.arrivalNanos());
    double onTimeMillis = goalMillis - fastestFirstEventMillis(request.size().promptTokens());
    double limitMillis = Math.min(onTimeMillis, MAX_PATIENCE_SHARE * totalMillis);
    return (long) Math.max(MIN_PATIENCE_MILLIS, limitMillis);
  }

  private long latestStartNanos(WaitingRequest request) {
    return request.goalNanos()
        - (long) (fastestFirstEventMillis(request.size().promptTokens()) * NANOS_PER_MILLI);
  }

  private void refuse(
      WaitingRequest request, ErrorKind reason, String detail, double waitMillis, long nowNanos) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos);
    double latestMillis = Math.max(MIN_RETRY_AFTER_MILLIS, RETURN_SHARE * leftMillis);
    // Whoever would be late anyway comes back when the overload has had time to pass.
    double millis = waitMillis > 0 ? latestMillis : MIN_RETRY_AFTER_MILLIS;
    // Spread, so that those who were refused together do not come back together.
    double spread = 0.6 + 0.4 * random.nextDouble();
    request.listener().onRefused(reason, detail, (long) (millis * spread));
  }

  private Optional<EndpointLoad> load(Placement placement) {
    EndpointLoad load = endpoints.get(placement.endpoint().id());
    // The attempt may belong to a process that has left or was replaced under its id.
    boolean isCurrent = load != null && load.endpoint().isSameProcess(placement.endpoint());
    return isCurrent ? Optional.of(load) : Optional.empty();
  }

  /** Returns what is known about each endpoint, for the state dump. */
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
              + " suspect="
              + load.isSuspect()
              + " gone="
              + load.isGone());
    }
    return lines;
  }
}
