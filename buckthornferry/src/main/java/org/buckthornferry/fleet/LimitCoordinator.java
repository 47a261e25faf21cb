package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.FleetRateLimiter;
import org.buckthornferry.dispatch.FleetSlots;
import org.buckthornferry.dispatch.HoldReason;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.fleet.LimitMessages.Purpose;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** Grants the permits of the endpoints with a rate limit that this instance coordinates. */
final class LimitCoordinator {
  private static final Logger LOG = Logger.getLogger(LimitCoordinator.class);

  /** Base period of the calls by which an instance shows that it knows a limit. */
  private static final long CALL_PERIOD_MILLIS = 1_000;

  /** Added to the period per instance, in milliseconds; bounds the calls in large fleets. */
  private static final long CALL_PERIOD_MILLIS_PER_INSTANCE = 3;

  /** Time without a call after which an instance does not count, in periods. */
  private static final long PRESENCE_PERIODS = 2;

  /** The interval between two log lines on an endpoint. */
  private static final long LOG_INTERVAL_MILLIS = 5_000;

  private final KnownLimits known;
  private final Blackboard blackboard;
  private final BiConsumer<String, Collection<String>> announcer;
  private final MonotonicClock clock;
  private final Map<String, Coordinated> coordinated = new HashMap<>();

  /**
   * The answer to a call.
   *
   * @param waitMillis 0 if a permit was granted, else when to ask again
   * @param sharePerSecond the caller's even share of the granted rate
   */
  record Outcome(long waitMillis, HoldReason reason, double sharePerSecond) {}

  /** An endpoint process whose permits this instance grants. */
  private static final class Coordinated {
    private final FleetRateLimiter limiter;
    private final FleetSlots slots = new FleetSlots();
    private final long createdNanos;
    private int instances;
    private long lastCallNanos;
    private long loggedNanos;
    private long loggedGranted;
    private long loggedRefused;

    private Coordinated(long nowNanos) {
      limiter = new FleetRateLimiter(nowNanos);
      createdNanos = nowNanos;
      loggedNanos = nowNanos;
    }
  }

  /**
   * Creates a coordinator of no endpoint.
   *
   * @param announcer tells the given instances what is known of a process
   */
  LimitCoordinator(
      KnownLimits known,
      Blackboard blackboard,
      BiConsumer<String, Collection<String>> announcer,
      MonotonicClock clock) {
    this.known = known;
    this.blackboard = blackboard;
    this.announcer = announcer;
    this.clock = clock;
  }

  /** Returns how often an instance calls the coordinator of a limit that it knows. */
  static long callPeriodMillis(int instances) {
    return CALL_PERIOD_MILLIS + CALL_PERIOD_MILLIS_PER_INSTANCE * instances;
  }

  /** Handles a call, after what the caller knows of the limit has been recorded. */
  Outcome handle(LimitMessages.Request request) {
    long nowNanos = clock.nanoTime();
    String processKey = request.processKey();
    Optional<RateLimitNotice> limits = known.limits(processKey, nowNanos);
    if (limits.isEmpty()) {
      if (coordinated.remove(processKey) != null) {
        announcer.accept(processKey, fleet().instanceIds());
      }
      return new Outcome(0, HoldReason.RATE_USED, 0);
    }
    Coordinated own = coordinated.get(processKey);
    if (own == null) {
      own = new Coordinated(nowNanos);
      coordinated.put(processKey, own);
      announcer.accept(processKey, fleet().instanceIds());
    }
    own.lastCallNanos = nowNanos;
    own.instances = Math.max(fleet().instanceCount(), request.instances());
    return handle(request, own, limits.get(), nowNanos);
  }

  private Outcome handle(
      LimitMessages.Request request, Coordinated own, RateLimitNotice limits, long nowNanos) {
    FleetRateLimiter.Terms terms = terms(own, limits.perSecond());
    FleetRateLimiter.Decision decision = new FleetRateLimiter.Decision(0, HoldReason.RATE_USED);
    String senderId = request.senderId();
    switch (request.purpose()) {
      case TAKE -> {
        if (limits.hasRateLimit()) {
          decision = own.limiter.take(senderId, request.priority(), terms, nowNanos);
        } else {
          own.limiter.onPresent(senderId, terms, nowNanos);
        }
        if (decision.isGranted() && limits.isBrittle()) {
          decision = takeSlot(request, own, limits, nowNanos);
        }
      }
      case ENDED, REJECTED ->
          own.slots.onEnded(senderId, request.purpose() == Purpose.REJECTED, nowNanos);
      case PRESENT -> {
        own.limiter.onPresent(senderId, terms, nowNanos);
        own.slots.onPresent(senderId, request.running());
      }
      case ANNOUNCE -> throw new IllegalArgumentException("an announcement needs no coordinator");
      default -> throw new IllegalStateException("unknown purpose " + request.purpose());
    }
    double perSecond = limits.hasRateLimit() ? own.limiter.grantedPerSecond(terms, nowNanos) : 0;
    return new Outcome(
        decision.waitMillis(), decision.reason(), perSecond / Math.max(1, own.limiter.present()));
  }

  /**
   * Takes one of the slots that belong to the instances which call this coordinator, so that two
   * coordinators do not grant the same ones.
   */
  private FleetRateLimiter.Decision takeSlot(
      LimitMessages.Request request, Coordinated own, RateLimitNotice limits, long nowNanos) {
    double callersShare = own.limiter.grantedPerSecond(terms(own, 1), nowNanos);
    own.slots.retainInstances(own.limiter::isPresent);
    int slots = (int) Math.floor(callersShare * capacity(request.processKey()));
    if (slots == 0 && isEstablished(own, nowNanos)) {
      slots = 1;
    }
    long waitMillis =
        own.slots.take(
            request.senderId(),
            request.running(),
            new FleetSlots.Terms(slots, limits.maxRejectionsPerSecond()),
            nowNanos);
    return new FleetRateLimiter.Decision(waitMillis, HoldReason.NO_FREE_SLOT);
  }

  /**
   * Returns whether the instances that call a coordinator have had time to do so. Before, others
   * may still call the one that it replaces.
   */
  private static boolean isEstablished(Coordinated own, long nowNanos) {
    return nowNanos - own.createdNanos
        >= TimeUnit.MILLISECONDS.toNanos(terms(own, 1).presenceMillis());
  }

  private int capacity(String processKey) {
    return blackboard
        .read(EndpointList.ENTRY)
        .process(processKey)
        .map(Endpoint::capacity)
        .orElse(1);
  }

  /** Logs and announces the limits in use, and forgets the others. */
  void onPeriod() {
    long nowNanos = clock.nanoTime();
    coordinated.entrySet().removeIf(entry -> logOrDrop(entry.getKey(), entry.getValue(), nowNanos));
    coordinated.forEach(this::announceToAbsent);
  }

  /** Announces a limit to instances that do not call, such as newly started ones. */
  private void announceToAbsent(String processKey, Coordinated own) {
    List<String> absent =
        fleet().instanceIds().stream().filter(id -> !own.limiter.isPresent(id)).toList();
    announcer.accept(processKey, absent);
  }

  /** Logs the state of a limit at intervals; returns whether nobody has called for long. */
  private boolean logOrDrop(String processKey, Coordinated own, long nowNanos) {
    double limitPerSecond = known.perSecond(processKey, nowNanos);
    FleetRateLimiter.Terms terms = terms(own, limitPerSecond);
    boolean isIdle =
        nowNanos - own.lastCallNanos > TimeUnit.MILLISECONDS.toNanos(terms.presenceMillis());
    boolean isLogDue =
        nowNanos - own.loggedNanos >= TimeUnit.MILLISECONDS.toNanos(LOG_INTERVAL_MILLIS);
    if (isIdle || isLogDue) {
      LOG.infof(
          "limit.state endpoint=%s perSecond=%s grantedPerSecond=%.3f present=%d instances=%d"
              + " granted=%d refused=%d running=%d",
          processKey,
          limitPerSecond,
          own.limiter.grantedPerSecond(terms, nowNanos),
          own.limiter.present(),
          own.instances,
          own.limiter.granted() - own.loggedGranted,
          own.limiter.refused() - own.loggedRefused,
          own.slots.running());
      own.loggedNanos = nowNanos;
      own.loggedGranted = own.limiter.granted();
      own.loggedRefused = own.limiter.refused();
    }
    return isIdle;
  }

  private static FleetRateLimiter.Terms terms(Coordinated own, double limitPerSecond) {
    return new FleetRateLimiter.Terms(
        limitPerSecond, own.instances, PRESENCE_PERIODS * callPeriodMillis(own.instances));
  }

  private FleetView fleet() {
    return blackboard.read(FleetView.ENTRY);
  }
}
