package org.buckthornferry.scaling;

import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.util.MonotonicClock;

/** Counts the demand for the services at this instance. Used by one thread. */
public final class DemandCounter {
  private final MonotonicClock clock;
  private final Map<String, Counted> services = new HashMap<>();

  /** The counts of one service. */
  private static final class Counted {
    private long arrivals;
    private long slotNanos;
    private long ended;
    private long refused;
    private long open;
    private long running;
  }

  /** Creates a counter without requests. */
  public DemandCounter(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Counts a request.
   *
   * @param isCallerRetry whether the request was counted before, by the instance that refused it
   */
  public void onArrival(String serviceName, boolean isCallerRetry) {
    Counted counted = counted(serviceName);
    counted.open++;
    counted.arrivals += isCallerRetry ? 0 : 1;
  }

  /** Counts an attempt that was sent to an endpoint, where it holds a slot. */
  public void onSent(String serviceName) {
    counted(serviceName).running++;
  }

  /** Counts the end of an attempt. */
  public void onAttemptEnded(String serviceName, long sentNanos, AttemptOutcome outcome) {
    Counted counted = counted(serviceName);
    counted.running--;
    if (hasHeldSlot(outcome)) {
      counted.ended++;
      counted.slotNanos += clock.nanoTime() - sentNanos;
    }
  }

  private static boolean hasHeldSlot(AttemptOutcome outcome) {
    return switch (outcome) {
      case COMPLETED, FAILED, BROKEN, TIMED_OUT, CANCELLED -> true;
      case FULL, FULL_AND_CLOSING, MISDIRECTED, UNREACHABLE, SILENT, NOT_FORWARDED, HELD_BACK ->
          false;
    };
  }

  /** Counts a request that gets an error response; {@link #onEnded} is called as well. */
  public void onFailed(String serviceName, ErrorKind kind) {
    boolean wasForLackOfSlot =
        switch (kind) {
          case DEADLINE_UNREACHABLE, QUEUE_FULL, NO_ENDPOINT, SHED -> true;
          default -> false;
        };
    counted(serviceName).refused += wasForLackOfSlot ? 1 : 0;
  }

  /** Counts the end of a request, with or without a response. */
  public void onEnded(String serviceName) {
    counted(serviceName).open--;
  }

  /** Returns what was counted for a service. */
  public DemandCounts counts(String serviceName) {
    Counted counted = services.get(serviceName);
    if (counted == null) {
      return DemandCounts.NONE;
    }
    // An attempt whose caller has left runs on without an open request.
    return new DemandCounts(
        counted.arrivals,
        counted.slotNanos / 1_000_000,
        counted.ended,
        Math.max(0, counted.open - counted.running),
        counted.refused);
  }

  private Counted counted(String serviceName) {
    return services.computeIfAbsent(serviceName, name -> new Counted());
  }
}
