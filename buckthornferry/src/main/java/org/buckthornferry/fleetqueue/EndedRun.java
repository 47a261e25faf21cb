package org.buckthornferry.fleetqueue;

import java.util.Optional;
import org.buckthornferry.dispatch.AttemptOutcome;

/**
 * The end of an attempt at an endpoint, or of a grant that was not used.
 *
 * @param ticketNumber the ticket that was granted; 0 if the request was placed without one
 * @param timing the times of the answer; empty if there was none
 */
public record EndedRun(
    String endpointId, long ticketNumber, AttemptOutcome outcome, Optional<Timing> timing) {
  /**
   * The times of an answer.
   *
   * @param firstEventMillis the time from sending to the first event, or to a plain answer
   * @param events the number of events; 0 for a plain answer
   * @param streamMillis the time from the first event to the last
   * @param longestGapMillis the longest pause between two events
   */
  public record Timing(
      double firstEventMillis, int events, double streamMillis, double longestGapMillis) {}
}
