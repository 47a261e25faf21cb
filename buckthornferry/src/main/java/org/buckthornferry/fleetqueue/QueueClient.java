package org.buckthornferry.fleetqueue;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An instance's side of the fleet-wide queue of one service: submits tickets to the coordinator and
 * hands its decisions to a listener. Listener methods are called from tasks of the scheduler, never
 * from within a method of this class. Used by one thread.
 */
public final class QueueClient {
  /** Owns the waiting requests of this instance. */
  public interface Listener {
    /** Carries out a decision about a ticket that waits. */
    void onDecision(Decision decision);

    /**
     * Returns a ticket with the times left as of now, or empty if its request waits no longer.
     *
     * @param number the number with which the ticket was submitted
     */
    Optional<Ticket> ticket(long number);

    /** Takes back tickets about which no coordinator will decide. */
    void onUnavailable(List<Long> ticketNumbers);

    /** Returns the number of requests of this instance that run, by endpoint id. */
    Map<String, Integer> running();
  }

  private final Listener listener;

  QueueClient(Listener listener) {
    this.listener = listener;
  }

  /** Returns whether a coordinator is known that replies. */
  public boolean isAvailable() {
    return false;
  }

  /** Submits a ticket, or submits it again with its present state. */
  public void submit(long ticketNumber) {
    listener.onUnavailable(List.of(ticketNumber));
  }

  /** Withdraws a ticket whose request waits no longer; a later grant is reported as unused. */
  public void withdraw(long ticketNumber) {}

  /** Reports the end of an attempt, or of a grant that was not used. */
  public void onEnded(EndedRun run) {}

  /** Withdraws all tickets and ends the calls. The listener is not called any more. */
  public void stop() {}
}
