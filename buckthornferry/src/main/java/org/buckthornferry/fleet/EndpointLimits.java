package org.buckthornferry.fleet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.FleetRateLimiter;
import org.buckthornferry.dispatch.HoldReason;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.dispatch.RateLimitPolicy;
import org.buckthornferry.fleet.KnownLimits.Statement;
import org.buckthornferry.fleet.LimitMessages.AgedNotice;
import org.buckthornferry.fleet.LimitMessages.Purpose;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Keeps the requests of all instances together within the limits that endpoints name in their
 * responses: requests per second, or rejections per second, which are avoided by sending no more
 * requests at a time than the endpoint has slots.
 *
 * <p>Each request to a limited endpoint needs a permit from the endpoint's coordinator, an instance
 * that is chosen by rendezvous hashing. An instance that cannot reach the first choices grants
 * permits to itself; {@link FleetRateLimiter} keeps the sum over all coordinators within the limit.
 * Nothing is stored: coordinators learn limits from those that call them, which call regularly and
 * at once after a change, and tell all instances. Used by one thread.
 */
public final class EndpointLimits implements RateLimitPolicy {
  private static final Logger LOG = Logger.getLogger(EndpointLimits.class);

  /**
   * Timeout of a call to a coordinator, in milliseconds; a request that waits for it can go
   * elsewhere afterwards.
   */
  private static final long CALL_TIMEOUT_MILLIS = 120;

  /** Delay before an unresponsive coordinator is called again, in milliseconds. */
  private static final long COORDINATOR_RETRY_MILLIS = 2_000;

  /** The number of candidates that are tried before an instance grants permits to itself. */
  private static final int MAX_CANDIDATES = 3;

  /** Wait before the next candidate is asked, in milliseconds. */
  private static final long NEXT_CANDIDATE_MILLIS = 1;

  private static final Priority NO_PRIORITY = new Priority(0, 0);

  /** A permit that arrives later than this is not used: the instance may have been suspended. */
  private static final long MAX_PERMIT_AGE_MILLIS = 500;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final KnownLimits known = new KnownLimits();
  private final UnresponsivePeers unresponsive;
  private final LimitCoordinator coordinator;
  private final Map<String, Contact> contacts = new HashMap<>();
  private final Map<String, List<String>> coordinatorOrders = new HashMap<>();
  private final Counter permits;
  private final Map<HoldReason, Counter> heldBack = new EnumMap<>(HoldReason.class);
  private ToIntFunction<Endpoint> running = endpoint -> 0;
  private boolean stopped;

  /**
   * The outcome of a request for a permit.
   *
   * @param waitMillis 0 if the request may be sent now, else when to ask again
   * @param reason why it may not; of no meaning otherwise
   * @param limitPerSecond the limit of the endpoint, in requests per second
   * @param sharePerSecond this instance's even share of it
   * @param coordinatorId the instance that decided
   */
  public record Permit(
      long waitMillis,
      HoldReason reason,
      double limitPerSecond,
      double sharePerSecond,
      String coordinatorId) {
    /** Returns whether the request may be sent now. */
    public boolean isGranted() {
      return waitMillis == 0;
    }
  }

  /** The last reply of a coordinator about an endpoint process. */
  private record Contact(long callNanos, double sharePerSecond) {}

  /** Creates an instance's component without known limits. */
  public EndpointLimits(
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.scheduler = scheduler;
    this.clock = clock;
    this.unresponsive = new UnresponsivePeers(COORDINATOR_RETRY_MILLIS, clock);
    this.coordinator = new LimitCoordinator(known, blackboard, this::announce, clock);
    this.permits = registry.counter("relay.limits.permits");
    for (HoldReason reason : HoldReason.values()) {
      heldBack.put(reason, registry.counter("relay.limits.held_back." + reason.label()));
    }
    registry.gauge("relay.limits.endpoints", () -> (Gauge<Integer>) () -> limited().size());
    registry.gauge(
        "relay.limits.named_per_second",
        () ->
            (Gauge<Double>)
                () ->
                    limited().values().stream()
                        .filter(RateLimitNotice::hasRateLimit)
                        .mapToDouble(RateLimitNotice::perSecond)
                        .sum());
    registry.gauge(
        "relay.limits.own_per_second",
        () ->
            (Gauge<Double>)
                () ->
                    limited().keySet().stream()
                        .mapToDouble(key -> contact(key).sharePerSecond)
                        .sum());
  }

  /** Sets what counts this instance's requests that run at an endpoint. */
  public void countRunningWith(ToIntFunction<Endpoint> counter) {
    running = counter;
  }

  /** Starts the regular calls to coordinators. */
  public void start() {
    scheduler.schedule(this::callCoordinators, LimitCoordinator.callPeriodMillis(instanceCount()));
  }

  /** Ends the regular calls. */
  public void stop() {
    stopped = true;
  }

  @Override
  public boolean hasLimits() {
    return known.hasLimits();
  }

  @Override
  public boolean isLimited(String processKey) {
    return known.isLimited(processKey);
  }

  /** Records what an endpoint states in a response. */
  public void onNotice(Endpoint endpoint, RateLimitNotice notice) {
    boolean saysNothingNew = notice.kind() != RateLimitNotice.Kind.LIMITED && !known.hasLimits();
    if (saysNothingNew) {
      return;
    }
    long nowNanos = clock.nanoTime();
    String processKey = endpoint.processKey();
    if (known.merge(processKey, new Statement(notice, nowNanos), selfId, nowNanos)) {
      callCoordinator(processKey);
    }
  }

  /** Asks for a permit to send a request to an endpoint now. The returned future never fails. */
  public CompletableFuture<Permit> take(Endpoint endpoint, Priority priority) {
    String processKey = endpoint.processKey();
    long sentNanos = clock.nanoTime();
    if (known.limits(processKey, sentNanos).isEmpty()) {
      return CompletableFuture.completedFuture(new Permit(0, HoldReason.RATE_USED, 0, 0, selfId));
    }
    String coordinatorId = coordinatorId(processKey);
    return Completions.thenOnOutcome(
        // The request that needs the permit is among those that run.
        call(coordinatorId, request(Purpose.TAKE, processKey, priority, running(processKey) - 1)),
        (reply, failure) -> {
          Permit permit =
              failure == null
                  ? permit(processKey, coordinatorId, reply, sentNanos)
                  : new Permit(
                      NEXT_CANDIDATE_MILLIS,
                      HoldReason.COORDINATOR_LOST,
                      limitPerSecond(processKey),
                      contact(processKey).sharePerSecond,
                      coordinatorId);
          (permit.isGranted() ? permits : heldBack.get(permit.reason)).inc();
          return CompletableFuture.completedFuture(permit);
        });
  }

  private Permit permit(
      String processKey, String coordinatorId, LimitMessages.Reply reply, long sentNanos) {
    boolean isLate =
        clock.nanoTime() - sentNanos > TimeUnit.MILLISECONDS.toNanos(MAX_PERMIT_AGE_MILLIS);
    if (isLate && reply.waitMillis() == 0) {
      tellEnded(processKey, Purpose.ENDED);
    }
    long waitMillis =
        isLate ? Math.max(NEXT_CANDIDATE_MILLIS, reply.waitMillis()) : reply.waitMillis();
    return new Permit(
        waitMillis,
        reply.reason(),
        limitPerSecond(processKey),
        reply.sharePerSecond(),
        coordinatorId);
  }

  /**
   * Records the end of a request that had a permit.
   *
   * @param wasRejected whether the endpoint rejected it for want of room
   */
  public void onEnded(Endpoint endpoint, boolean wasRejected) {
    tellEnded(endpoint.processKey(), wasRejected ? Purpose.REJECTED : Purpose.ENDED);
  }

  private void tellEnded(String processKey, Purpose purpose) {
    boolean isBrittle =
        known.limits(processKey, clock.nanoTime()).filter(RateLimitNotice::isBrittle).isPresent();
    if (!isBrittle) {
      return;
    }
    String coordinatorId = coordinatorId(processKey);
    Completions.onComplete(
        call(coordinatorId, request(purpose, processKey, NO_PRIORITY, running(processKey))),
        (reply, failure) -> {
          if (failure != null) {
            // The next call to the coordinator states what runs.
            LOG.infof("limit.end_not_told endpoint=%s coordinator=%s", processKey, coordinatorId);
          }
        });
  }

  private int running(String processKey) {
    return blackboard
        .read(EndpointList.ENTRY)
        .process(processKey)
        .map(running::applyAsInt)
        .orElse(0);
  }

  /** Handles a call of another instance. */
  public byte[] answer(byte[] message) throws IOException {
    LimitMessages.Request request = LimitMessages.decodeRequest(message);
    long nowNanos = clock.nanoTime();
    if (request.purpose() == Purpose.ANNOUNCE) {
      if (mergeFromPeer(request.processKey(), request.known(), request.senderId(), nowNanos)) {
        callCoordinator(request.processKey());
      }
      return LimitMessages.encodeReply(
          new LimitMessages.Reply(0, HoldReason.RATE_USED, 0, knownNotice(request.processKey())));
    }
    return LimitMessages.encodeReply(coordinate(request));
  }

  /** Applies a change of the instances. */
  public void refresh() {
    coordinatorOrders.clear();
    unresponsive.retainAll(blackboard.read(FleetView.ENTRY).instanceIds());
  }

  private LimitMessages.Reply coordinate(LimitMessages.Request request) {
    String processKey = request.processKey();
    mergeFromPeer(processKey, request.known(), request.senderId(), clock.nanoTime());
    LimitCoordinator.Outcome outcome = coordinator.handle(request);
    return new LimitMessages.Reply(
        outcome.waitMillis(), outcome.reason(), outcome.sharePerSecond(), knownNotice(processKey));
  }

  private boolean mergeFromPeer(
      String processKey, AgedNotice notice, String peerId, long nowNanos) {
    // The time of the transfer is unknown; a notice must not look newer each time it is passed on.
    long ageMillis = notice.ageMillis() + (peerId.equals(selfId) ? 0 : CALL_TIMEOUT_MILLIS);
    Statement statement =
        new Statement(notice.notice(), nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis));
    return known.merge(processKey, statement, peerId, nowNanos);
  }

  private AgedNotice knownNotice(String processKey) {
    long nowNanos = clock.nanoTime();
    return known
        .get(processKey, nowNanos)
        .map(
            statement ->
                new AgedNotice(
                    statement.notice(),
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - statement.statedNanos())))
        .orElse(new AgedNotice(RateLimitNotice.UNKNOWN, 0));
  }

  /** Tells other instances what is known of a limit, if this instance is a candidate for it. */
  private void announce(String processKey, Collection<String> instanceIds) {
    if (!coordinatorOrder(processKey).contains(selfId)) {
      return;
    }
    byte[] message =
        LimitMessages.encodeRequest(request(Purpose.ANNOUNCE, processKey, NO_PRIORITY, 0));
    Map<String, InetSocketAddress> addresses = candidates();
    for (String otherId : instanceIds) {
      if (otherId.equals(selfId)) {
        continue;
      }
      Completions.onComplete(
          peers.call(addresses.get(otherId), PeerMessageKind.LIMIT, message, CALL_TIMEOUT_MILLIS),
          (reply, failure) -> {
            if (failure != null) {
              // The instance learns of it from a response, its next call or the next announcement.
              LOG.infof("limit.not_announced endpoint=%s instance=%s", processKey, otherId);
            }
          });
    }
  }

  private void callCoordinators() {
    if (stopped) {
      return;
    }
    long nowNanos = clock.nanoTime();
    long periodMillis = LimitCoordinator.callPeriodMillis(instanceCount());
    Set<String> listed = new HashSet<>();
    for (Endpoint endpoint : blackboard.read(EndpointList.ENTRY).endpoints()) {
      listed.add(endpoint.processKey());
    }
    for (String processKey : limited().keySet()) {
      long idleNanos = nowNanos - contact(processKey).callNanos;
      if (listed.contains(processKey)
          && idleNanos >= TimeUnit.MILLISECONDS.toNanos(periodMillis / 2)) {
        callCoordinator(processKey);
      }
    }
    contacts.keySet().retainAll(limited().keySet());
    coordinator.onPeriod();
    known.removeExpired(nowNanos);
    scheduler.schedule(this::callCoordinators, periodMillis);
  }

  private void callCoordinator(String processKey) {
    if (stopped) {
      return;
    }
    String coordinatorId = coordinatorId(processKey);
    Completions.onComplete(
        call(coordinatorId, request(Purpose.PRESENT, processKey, NO_PRIORITY, running(processKey))),
        (reply, failure) -> {
          if (failure != null && !coordinatorId.equals(selfId)) {
            callCoordinator(processKey);
          }
        });
  }

  private CompletableFuture<LimitMessages.Reply> call(
      String coordinatorId, LimitMessages.Request request) {
    String processKey = request.processKey();
    long nowNanos = clock.nanoTime();
    if (coordinatorId.equals(selfId)) {
      LimitMessages.Reply reply = coordinate(request);
      contacts.put(processKey, new Contact(nowNanos, reply.sharePerSecond()));
      return CompletableFuture.completedFuture(reply);
    }
    contacts.put(processKey, new Contact(nowNanos, contact(processKey).sharePerSecond));
    InetSocketAddress address = candidates().get(coordinatorId);
    if (address == null) {
      return noReply(coordinatorId, new IOException("the instance has left"));
    }
    return Completions.thenOnOutcome(
        peers.call(
            address,
            PeerMessageKind.LIMIT,
            LimitMessages.encodeRequest(request),
            CALL_TIMEOUT_MILLIS),
        (message, failure) -> {
          if (failure != null) {
            return noReply(coordinatorId, failure);
          }
          try {
            return CompletableFuture.completedFuture(
                onReply(processKey, coordinatorId, LimitMessages.decodeReply(message)));
          } catch (IOException e) {
            return noReply(coordinatorId, e);
          }
        });
  }

  private CompletableFuture<LimitMessages.Reply> noReply(String coordinatorId, Throwable cause) {
    if (unresponsive.onNoReply(coordinatorId)) {
      LOG.warnf("limit.coordinator_lost coordinator=%s reason=\"%s\"", coordinatorId, cause);
    }
    return CompletableFuture.failedFuture(cause);
  }

  private LimitMessages.Reply onReply(
      String processKey, String coordinatorId, LimitMessages.Reply reply) {
    if (unresponsive.onReply(coordinatorId)) {
      LOG.infof("limit.coordinator_regained coordinator=%s", coordinatorId);
    }
    long nowNanos = clock.nanoTime();
    mergeFromPeer(processKey, reply.known(), coordinatorId, nowNanos);
    contacts.put(processKey, new Contact(nowNanos, reply.sharePerSecond()));
    return reply;
  }

  private LimitMessages.Request request(
      Purpose purpose, String processKey, Priority priority, int runningNow) {
    return new LimitMessages.Request(
        purpose,
        processKey,
        selfId,
        instanceCount(),
        knownNotice(processKey),
        priority,
        Math.max(0, runningNow));
  }

  /** Returns the first candidate that replies, or this instance when none of the first does. */
  private String coordinatorId(String processKey) {
    for (String candidate : coordinatorOrder(processKey)) {
      if (candidate.equals(selfId) || !unresponsive.isInBackoff(candidate)) {
        return candidate;
      }
    }
    return selfId;
  }

  private List<String> coordinatorOrder(String processKey) {
    return coordinatorOrders.computeIfAbsent(
        processKey,
        key -> {
          List<String> order = Rendezvous.order(key, candidates().keySet());
          return List.copyOf(order.subList(0, Math.min(MAX_CANDIDATES, order.size())));
        });
  }

  /** Returns the instances that may coordinate, with their addresses. */
  private Map<String, InetSocketAddress> candidates() {
    return blackboard.read(FleetView.ENTRY).addresses();
  }

  private Map<String, RateLimitNotice> limited() {
    return known.limited(clock.nanoTime());
  }

  private double limitPerSecond(String processKey) {
    return known.perSecond(processKey, clock.nanoTime());
  }

  private Contact contact(String processKey) {
    return contacts.getOrDefault(processKey, new Contact(Long.MIN_VALUE / 2, 0));
  }

  private int instanceCount() {
    return blackboard.read(FleetView.ENTRY).instanceCount();
  }
}
