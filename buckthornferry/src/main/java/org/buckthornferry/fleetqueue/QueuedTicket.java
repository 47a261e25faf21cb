package org.buckthornferry.fleetqueue;

import java.util.concurrent.TimeUnit;

/** A ticket in the queue, with its times on the clock of the coordinator. */
final class QueuedTicket {
  private final TicketKey key;
  private final String failureDomain;
  private final Ticket ticket;
  private final long arrivalNanos;
  private final long goalNanos;
  private final long patienceNanos;
  private final long deadlineNanos;
  private QueuePosition position = QueuePosition.FIRST;
  private long skippedAt = -1;
  private boolean isAdmitted;

  QueuedTicket(TicketKey key, String failureDomain, Ticket ticket, long nowNanos) {
    this.key = key;
    this.failureDomain = failureDomain;
    this.ticket = ticket;
    this.arrivalNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ticket.waitedMillis());
    this.goalNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ticket.goalMillis());
    this.patienceNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ticket.patienceMillis());
    this.deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ticket.deadlineMillis());
  }

  TicketKey key() {
    return key;
  }

  String failureDomain() {
    return failureDomain;
  }

  Ticket ticket() {
    return ticket;
  }

  long arrivalNanos() {
    return arrivalNanos;
  }

  double goalMillis(long nowNanos) {
    return (goalNanos - nowNanos) / 1e6;
  }

  /** Returns the time left in which a first event still finds the caller waiting. */
  double patienceMillis(long nowNanos) {
    return (Math.min(patienceNanos, deadlineNanos) - nowNanos) / 1e6;
  }

  double deadlineMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / 1e6;
  }

  QueuePosition position() {
    return position;
  }

  void setPosition(QueuePosition newPosition) {
    position = newPosition;
  }

  /** Returns whether no endpoint suited it, and nothing has changed since then. */
  boolean isSkippedAt(long changes) {
    return skippedAt == changes;
  }

  void skipAt(long changes) {
    skippedAt = changes;
  }

  /** Returns whether its expected wait has been judged. */
  boolean isAdmitted() {
    return isAdmitted;
  }

  void markAdmitted() {
    isAdmitted = true;
  }
}
