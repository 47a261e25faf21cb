package org.buckthornferry.fleetqueue;

import java.util.Comparator;

/**
 * The place of a ticket in the queue; the smallest comes first. Interrupted streams come first,
 * then classes below their guaranteed share, then customers and routes by priority. Among the
 * routes, lateness lowers the level of a request: it has lost most of its value, which it keeps
 * until its caller leaves, whereas a request of the next level can still be on time. Shortly before
 * its caller leaves, a late request is raised again.
 *
 * @param level the priority of the route, lowered for late requests and long answers
 * @param dueNanos arrival plus a multiple of the expected run, so that short answers come first
 */
record QueuePosition(Group group, int customerPriority, double level, long dueNanos)
    implements Comparable<QueuePosition> {
  /** Precedes all others. */
  static final QueuePosition FIRST =
      new QueuePosition(Group.CONTINUATION, Integer.MIN_VALUE, 0, Long.MIN_VALUE);

  /** How far a late request falls behind, in priority levels: behind the next level, not more. */
  private static final double LATE_LEVELS = 1.5;

  /** How far a late request whose caller is about to leave stays behind. */
  private static final double LAST_CALL_LEVELS = 0.75;

  /** How far long answers fall behind, of which each displaces several short ones. */
  private static final double LONG_LEVELS = 0.25;

  /**
   * The factor of the expected run that is added to the arrival. A request that has waited longer
   * than the difference comes before shorter ones.
   */
  private static final long RUN_TIME_WEIGHT = 3;

  private static final Comparator<QueuePosition> ORDER =
      Comparator.comparing(QueuePosition::group)
          .thenComparingInt(QueuePosition::customerPriority)
          .thenComparingDouble(QueuePosition::level)
          .thenComparingLong(QueuePosition::dueNanos);

  /** What is compared before the priority. */
  enum Group {
    CONTINUATION,
    BELOW_GUARANTEE,
    BY_PRIORITY
  }

  /** How much of its value a request can still have. */
  enum Timeliness {
    ON_TIME(0),
    LATE(LATE_LEVELS),
    LAST_CALL(LAST_CALL_LEVELS);

    private final double levels;

    Timeliness(double levels) {
      this.levels = levels;
    }
  }

  static QueuePosition of(
      QueuedTicket queued, boolean isBelowGuarantee, Timeliness timeliness, long runNanos) {
    Ticket ticket = queued.ticket();
    Group group = isBelowGuarantee ? Group.BELOW_GUARANTEE : Group.BY_PRIORITY;
    return new QueuePosition(
        ticket.isContinuation() ? Group.CONTINUATION : group,
        ticket.priority().customerPriority(),
        ticket.priority().routePriority() + timeliness.levels + (ticket.isLong() ? LONG_LEVELS : 0),
        queued.arrivalNanos() + RUN_TIME_WEIGHT * runNanos);
  }

  @Override
  public int compareTo(QueuePosition other) {
    return ORDER.compare(this, other);
  }
}
