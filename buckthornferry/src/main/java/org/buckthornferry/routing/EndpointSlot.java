package org.buckthornferry.routing;

import java.util.Comparator;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.endpoint.EndpointSpeed;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.endpoint.EndpointStatus;

/** The state of one endpoint in {@link EndpointChooser}. */
final class EndpointSlot {
  /** Orders by the estimated run time of a request of mean size, shortest first. */
  static final Comparator<EndpointSlot> BY_RUN_TIME =
      Comparator.<EndpointSlot>comparingDouble(slot -> slot.meanRequestRunNanos)
          .thenComparing(slot -> slot.declaration.id());

  /** Orders by the time of the next capacity check, earliest first. */
  static final Comparator<EndpointSlot> BY_RECHECK_TIME =
      Comparator.<EndpointSlot>comparingLong(slot -> slot.recheckNanos)
          .thenComparing(slot -> slot.declaration.id());

  /** The run time of an idle endpoint relative to the estimate. */
  private static final double IDLE_LOAD_FACTOR = 0.75;

  /** What a full endpoint adds to the idle factor, because a full batch decodes more slowly. */
  private static final double FULL_LOAD_INCREASE = 0.5;

  final EndpointDeclaration declaration;
  EndpointStatus status = new EndpointStatus(EndpointState.COLD, 0);
  Availability availability = Availability.UNAVAILABLE;
  double meanRequestRunNanos;
  long recheckNanos;
  int running;
  private EndpointSpeed speed;
  private long prefillBusyUntilNanos;

  /** Whether the endpoint can be chosen. */
  enum Availability {
    /** Accepts no new requests. */
    UNAVAILABLE,
    /** May have a free slot. */
    READY,
    /** Had no free slot at the last check; checked again after a delay. */
    BACKED_OFF
  }

  EndpointSlot(EndpointDeclaration declaration, EndpointSpeed speed) {
    this.declaration = declaration;
    this.speed = speed;
  }

  void updateRunTime(EndpointSpeed newSpeed, double prefillTokens, double decodeTokens) {
    speed = newSpeed;
    meanRequestRunNanos = speed.runNanos(prefillTokens, decodeTokens) * loadFactor();
  }

  double runNanos(double prefillTokens, double decodeTokens) {
    return speed.runNanos(prefillTokens, decodeTokens) * loadFactor();
  }

  long finishNanos(double prefillTokens, double decodeTokens, long nowNanos) {
    long startNanos = Math.max(0, prefillBusyUntilNanos - nowNanos);
    return nowNanos + startNanos + (long) runNanos(prefillTokens, decodeTokens);
  }

  void onStarted(double prefillTokens, long nowNanos) {
    running++;
    long busyNanos = (long) (prefillTokens * speed.prefillNanosPerToken());
    prefillBusyUntilNanos = nowNanos + Math.max(0, prefillBusyUntilNanos - nowNanos) + busyNanos;
  }

  private double loadFactor() {
    int limit = Math.max(1, status.budgetConcurrent());
    return IDLE_LOAD_FACTOR + FULL_LOAD_INCREASE * Math.min(1.0, (double) running / limit);
  }
}
