package org.buckthornferry.routing;

import java.util.Comparator;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.endpoint.EndpointSpeed;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.endpoint.EndpointStatus;

/** What the chooser keeps about one endpoint. */
final class EndpointSlot {
  /** Least estimated run time of a usual request first. */
  static final Comparator<EndpointSlot> BY_SCORE =
      Comparator.<EndpointSlot>comparingDouble(slot -> slot.score)
          .thenComparing(slot -> slot.declaration.id());

  /** Earliest next check of the limits first. */
  static final Comparator<EndpointSlot> BY_CHECK =
      Comparator.<EndpointSlot>comparingLong(slot -> slot.checkNanos)
          .thenComparing(slot -> slot.declaration.id());

  /** Part of the run time that does not depend on the load; a full batch decodes more slowly. */
  private static final double IDLE_SHARE = 0.75;

  private static final double LOAD_SHARE = 0.5;

  final EndpointDeclaration declaration;
  EndpointStatus status = new EndpointStatus(EndpointState.COLD, 0);
  Place place = Place.OUT;
  double score;
  long checkNanos;
  int running;
  private EndpointSpeed speed;
  private long prefillBusyUntilNanos;

  /** Where the chooser keeps the endpoint. */
  enum Place {
    /** Takes no new work. */
    OUT,
    /** May have room. */
    READY,
    /** Had no room when it was last looked at. */
    PARKED
  }

  EndpointSlot(EndpointDeclaration declaration, EndpointSpeed speed) {
    this.declaration = declaration;
    this.speed = speed;
  }

  void rescore(EndpointSpeed newSpeed, double prefillTokens, double decodeTokens) {
    speed = newSpeed;
    score = speed.runNanos(prefillTokens, decodeTokens) * loadFactor();
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
    return IDLE_SHARE + LOAD_SHARE * Math.min(1.0, (double) running / limit);
  }
}
