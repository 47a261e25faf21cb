package org.buckthornferry.fleetqueue;

import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.dispatch.SlidingWindowSum;

/**
 * Counts which share of its requests each class has started. A class is a route and an answer
 * length; each has a guaranteed share, so that priority starves none in a lasting overload.
 */
final class ClassShares {
  /** The guaranteed share of a class; priority decides beyond it. */
  private static final double GUARANTEED_SHARE = 0.2;

  /** The window of the counts, in milliseconds; longer than a burst, after which all are served. */
  private static final long WINDOW_MILLIS = 20_000;

  private final Map<RequestClass, Counts> classes = new HashMap<>();

  private record RequestClass(String routeName, boolean isLong) {
    static RequestClass of(Ticket ticket) {
      return new RequestClass(ticket.routeName(), ticket.isLong());
    }
  }

  private static final class Counts {
    private final SlidingWindowSum arrived = new SlidingWindowSum(WINDOW_MILLIS);
    private final SlidingWindowSum started = new SlidingWindowSum(WINDOW_MILLIS);
    private int waiting;
  }

  void onArrival(Ticket ticket, long nowNanos) {
    counts(ticket).arrived.add(1, nowNanos);
  }

  void onQueued(Ticket ticket) {
    counts(ticket).waiting++;
  }

  void onRemoved(Ticket ticket) {
    counts(ticket).waiting--;
  }

  void onStarted(Ticket ticket, long nowNanos) {
    counts(ticket).started.add(1, nowNanos);
  }

  boolean isBelowGuarantee(Ticket ticket, long nowNanos) {
    Counts counts = counts(ticket);
    return counts.started.sum(nowNanos) < GUARANTEED_SHARE * counts.arrived.sum(nowNanos) - 1;
  }

  /**
   * Returns whether the waiting requests of a class are no more than those that its guaranteed
   * share lets start, whatever the priority of others.
   */
  boolean coversWaiting(Ticket ticket, long nowNanos) {
    Counts counts = counts(ticket);
    return counts.started.sum(nowNanos) + counts.waiting
        <= GUARANTEED_SHARE * counts.arrived.sum(nowNanos);
  }

  private Counts counts(Ticket ticket) {
    return classes.computeIfAbsent(RequestClass.of(ticket), requestClass -> new Counts());
  }
}
