package org.buckthornferry.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;

/** What this instance runs at an endpoint and what it has learned about it. */
final class EndpointLoad {
  /** The first pause after a failure; doubles with each further one, in milliseconds. */
  private static final long FIRST_AVOID_MILLIS = 250;

  /** The longest pause after failures; a returned endpoint is noticed within it. */
  private static final long MAX_AVOID_MILLIS = 3_000;

  /**
   * The first pause after a refusal for lack of room, in milliseconds; a short step of an engine.
   */
  private static final long FIRST_FULL_MILLIS = 4;

  /**
   * The pause after a refusal with which the endpoint closed the connection, in milliseconds. Each
   * further question would need a new connection, and an endpoint that leaves has no room again.
   */
  private static final long LEAVING_MILLIS = 400;

  /** The weight of the newest answer in the share of failures. */
  private static final double ERROR_WEIGHT = 0.1;

  private final SpeedEstimate speed = new SpeedEstimate();
  private final ColdGate coldGate = new ColdGate();
  private Endpoint endpoint;
  private long coldUntilNanos;
  private int running;
  private int reserving;
  private int fullStreak;
  private long fullUntilNanos;
  private int failures;
  private long avoidUntilNanos;
  private boolean isGone;
  private double errorShare;

  EndpointLoad(Endpoint endpoint) {
    update(endpoint);
    fullUntilNanos = endpoint.observedNanos();
    avoidUntilNanos = endpoint.observedNanos();
  }

  /** Takes over a newer registration of the same process. */
  void update(Endpoint newer) {
    endpoint = newer;
    coldUntilNanos = newer.observedNanos() + TimeUnit.MILLISECONDS.toNanos(newer.coldMillis());
  }

  Endpoint endpoint() {
    return endpoint;
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
    return failures > 0;
  }

  /** Returns when the endpoint may take a request of the given rank; in the past when now. */
  long freeNanos(long rankPauseNanos) {
    return Math.max(
        avoidUntilNanos, fullStreak == 0 ? avoidUntilNanos : fullUntilNanos + rankPauseNanos);
  }

  /** Returns whether the endpoint may take one more request of this instance. */
  boolean hasRoom(int ownLimit) {
    if (isGone || running >= ownLimit) {
      return false;
    }
    // One request at a time finds out whether a full or a failed endpoint serves again.
    boolean isProbing = fullStreak > 0 || failures > 0;
    return !isProbing || (reserving == 0 && (failures == 0 || running == 0));
  }

  /** Returns when a request may be sent as far as coldness is concerned; in the past when warm. */
  long warmEnoughNanos(Service service, String selfId, List<String> instanceIds, long nowNanos) {
    if (!isCold(service, nowNanos)) {
      return nowNanos;
    }
    return coldGate.openNanos(
        endpoint.id(), service.coldRequestsPerSecond(), selfId, instanceIds, nowNanos);
  }

  private boolean isCold(Service service, long nowNanos) {
    return service.coldRequestsPerSecond() > 0 && coldUntilNanos - nowNanos > 0;
  }

  void onPlaced(boolean reserves, long nowNanos) {
    running++;
    coldGate.onSent(nowNanos);
    if (reserves) {
      reserving++;
    }
  }

  void onReserved() {
    reserving--;
    fullStreak = 0;
    failures = 0;
  }

  /**
   * Ends an attempt.
   *
   * @param jitter a random factor for pauses, around 1
   * @param maxFullMillis the longest pause after refusals for lack of room
   */
  void onAttemptEnded(
      boolean wasReserving,
      AttemptOutcome outcome,
      double jitter,
      long maxFullMillis,
      long nowNanos) {
    running--;
    if (wasReserving) {
      reserving--;
    }
    switch (outcome.evidence()) {
      case GOOD -> {
        failures = 0;
        errorShare -= ERROR_WEIGHT * errorShare;
        // A slot has just become free.
        fullUntilNanos = nowNanos;
      }
      case ERROR -> {
        errorShare += ERROR_WEIGHT * (1 - errorShare);
        fullUntilNanos = nowNanos;
      }
      case BUSY -> {
        fullStreak++;
        long millis =
            Math.min(
                Math.max(FIRST_FULL_MILLIS, maxFullMillis),
                FIRST_FULL_MILLIS << Math.min(fullStreak - 1, 8));
        fullUntilNanos = nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(millis));
      }
      case LEAVING ->
          avoidUntilNanos =
              nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(LEAVING_MILLIS));
      case BROKEN -> {
        errorShare += ERROR_WEIGHT * (1 - errorShare);
        failures++;
        long millis = Math.min(MAX_AVOID_MILLIS, FIRST_AVOID_MILLIS << Math.min(failures - 1, 5));
        avoidUntilNanos = nowNanos + (long) (jitter * TimeUnit.MILLISECONDS.toNanos(millis));
      }
      case GONE -> isGone = true;
      case NONE -> fullUntilNanos = nowNanos;
      default -> throw new IllegalStateException("unknown evidence " + outcome.evidence());
    }
  }
}
