package org.buckthornferry.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;

/**
 * The requests of this instance at an endpoint, and the endpoint's observed speed and health.
 * Refusals and failures each start an exponential backoff, after which one request at a time probes
 * the endpoint.
 */
final class EndpointLoad {
  /** The first backoff after a failure, in milliseconds; it doubles with each further one. */
  private static final long FIRST_FAILURE_BACKOFF_MILLIS = 250;

  /** The longest backoff after failures, in milliseconds; recovery is noticed within it. */
  private static final long MAX_FAILURE_BACKOFF_MILLIS = 3_000;

  /**
   * The first backoff after a refusal for lack of a slot, in milliseconds; as long as a short step
   * of an engine.
   */
  private static final long FIRST_FULL_BACKOFF_MILLIS = 4;

  /**
   * The backoff after a refusal with which the endpoint closed the connection, in milliseconds.
   * Each retry needs a new connection, and an endpoint that is shutting down frees no slots.
   */
  private static final long CLOSING_BACKOFF_MILLIS = 400;

  /** The smoothing factor of the moving average of errors. */
  private static final double ERROR_WEIGHT = 0.1;

  private final SpeedEstimate speed = new SpeedEstimate();
  private final ColdStartLimiter coldStartLimiter = new ColdStartLimiter();
  private final String processKey;
  private Endpoint endpoint;
  private long coldUntilNanos;
  private int running;
  private int reserving;
  private int consecutiveFull;
  private long fullBackoffUntilNanos;
  private int consecutiveFailures;
  private long failureBackoffUntilNanos;
  private Priority heldBackPriority = Priority.HIGHEST;
  private long heldBackUntilNanos;
  private long holdMillis;
  private boolean isGone;
  private double errorShare;

  EndpointLoad(Endpoint endpoint) {
    update(endpoint);
    processKey = endpoint.processKey();
    heldBackUntilNanos = endpoint.observedNanos();
    fullBackoffUntilNanos = endpoint.observedNanos();
    failureBackoffUntilNanos = endpoint.observedNanos();
  }

  /** Sets a newer registration of the same process. */
  void update(Endpoint newer) {
    endpoint = newer;
    coldUntilNanos = newer.observedNanos() + TimeUnit.MILLISECONDS.toNanos(newer.coldMillis());
  }

  Endpoint endpoint() {
    return endpoint;
  }

  String processKey() {
    return processKey;
  }

  SpeedEstimate speed() {
    return speed;
  }

  int running() {
    return running;
  }

  double errorShare() {
    return errorShare;
  }

  boolean isGone() {
    return isGone;
  }

  boolean isSuspect() {
    return consecutiveFailures > 0;
  }

  /** Returns when the backoffs end; the delay adds to that of a full endpoint. */
  long availableNanos(long priorityDelayNanos) {
    return Math.max(
        failureBackoffUntilNanos,
        consecutiveFull == 0
            ? failureBackoffUntilNanos
            : fullBackoffUntilNanos + priorityDelayNanos);
  }

  /**
   * Returns when to ask for the next permit of an endpoint with a rate limit. A request of higher
   * priority than the one that got none may ask at once.
   */
  long heldBackUntilNanos(Priority priority, long nowNanos) {
    return priority.compareTo(heldBackPriority) < 0 ? nowNanos : heldBackUntilNanos;
  }

  /** Returns the last wait for a permit in milliseconds; 0 if none had to be waited for. */
  long holdMillis() {
    return holdMillis;
  }

  /** Returns whether a reservation or a permit has been requested and not been answered. */
  boolean isAwaitingGrant() {
    return reserving > 0;
  }

  /** Records that no permit is available for a request of the given priority for a time. */
  void onHeldBack(Priority priority, long waitMillis, long nowNanos) {
    heldBackPriority = priority;
    holdMillis = waitMillis;
    heldBackUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
  }

  /** Records that a permit was granted. */
  void onPermitted() {
    reserving--;
    holdMillis = 0;
  }

  /** Returns whether the endpoint may get one more request of this instance. */
  boolean canTakeMore(int maxRunning) {
    if (isGone || running >= maxRunning) {
      return false;
    }
    // One request at a time probes whether a full or failed endpoint serves again.
    boolean isProbing = consecutiveFull > 0 || consecutiveFailures > 0;
    return !isProbing || (reserving == 0 && (consecutiveFailures == 0 || running == 0));
  }

  /** Returns whether the endpoint may get a request that a coordinator has granted a slot. */
  boolean mayTakeGranted(int maxConnections, long nowNanos) {
    return !isGone && running < maxConnections && failureBackoffUntilNanos - nowNanos <= 0;
  }

  /** Forgets failures that were not the endpoint's. */
  void clearFailures(long nowNanos) {
    consecutiveFailures = 0;
    failureBackoffUntilNanos = nowNanos;
  }

  /** Returns when the cold-start limit permits a request; {@code nowNanos} when warm. */
  long coldLimitNanos(Service service, String selfId, List<String> instanceIds, long nowNanos) {
    if (!isCold(service, nowNanos)) {
      return nowNanos;
    }
    return coldStartLimiter.nextSendNanos(
        endpoint.id(), service.coldRequestsPerSecond(), selfId, instanceIds, nowNanos);
  }

  private boolean isCold(Service service, long nowNanos) {
    return service.coldRequestsPerSecond() > 0 && coldUntilNanos - nowNanos > 0;
  }

  void onPlaced(boolean needsGrant, long nowNanos) {
    running++;
    coldStartLimiter.onSent(nowNanos);
    if (needsGrant) {
      reserving++;
    }
  }

  void onReserved() {
    reserving--;
    consecutiveFull = 0;
    consecutiveFailures = 0;
  }

  /**
   * Records the end of an attempt.
   *
   * @param jitter a random factor for backoffs, around 1
   * @param maxFullBackoffMillis the longest backoff after refusals for lack of a slot
   */
  void onAttemptEnded(
      boolean wasReserving,
      AttemptOutcome outcome,
      double jitter,
      long maxFullBackoffMillis,
      long nowNanos) {
    running--;
    if (wasReserving) {
      reserving--;
    }
    switch (outcome.evidence()) {
      case GOOD -> {
        consecutiveFailures = 0;
        errorShare -= ERROR_WEIGHT * errorShare;
        // A slot has just become free.
        fullBackoffUntilNanos = nowNanos;
      }
      case ERROR -> {
        errorShare += ERROR_WEIGHT * (1 - errorShare);
        fullBackoffUntilNanos = nowNanos;
      }
      case BUSY -> {
        consecutiveFull++;
        long millis =
            Math.min(
                Math.max(FIRST_FULL_BACKOFF_MILLIS, maxFullBackoffMillis),
                FIRST_FULL_BACKOFF_MILLIS << Math.min(consecutiveFull - 1, 8));
        fullBackoffUntilNanos = nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(millis));
      }
      case LEAVING ->
          failureBackoffUntilNanos =
              nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(CLOSING_BACKOFF_MILLIS));
      case BROKEN -> {
        errorShare += ERROR_WEIGHT * (1 - errorShare);
        consecutiveFailures++;
        long millis =
            Math.min(
                MAX_FAILURE_BACKOFF_MILLIS,
                FIRST_FAILURE_BACKOFF_MILLIS << Math.min(consecutiveFailures - 1, 5));
        failureBackoffUntilNanos =
            nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(millis));
      }
      case GONE -> isGone = true;
      case NONE -> fullBackoffUntilNanos = nowNanos;
      default -> throw new IllegalStateException("unknown evidence " + outcome.evidence());
    }
  }
}
