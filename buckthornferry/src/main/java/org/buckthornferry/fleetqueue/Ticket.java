package org.buckthornferry.fleetqueue;

import java.util.Set;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;

/**
 * A waiting request, as its instance describes it to the coordinator. Times are relative to the
 * moment at which the ticket is submitted, because the clocks of instances differ.
 *
 * @param number identifies the ticket among those of its instance
 * @param routeName requests of one route have a guaranteed share of the slots together
 * @param isLong whether the answer is expected to be long for its route
 * @param goalMillis the time left until the first event is late; negative if it is late already
 * @param patienceMillis the time left until the caller leaves if it has received no event
 * @param deadlineMillis the time left until the request is given up
 * @param gapGoalMillis the longest pause between events with which an answer is good; 0 without
 *     events
 * @param waitedMillis the time since the request arrived at its instance
 * @param hasBeenSent whether an attempt failed, so that the request cannot be refused as not run
 * @param isContinuation whether a partly delivered stream continues
 * @param isCallerRetry whether its caller has sent the request before
 * @param excludedEndpointIds endpoints that must not get the request
 */
public record Ticket(
    long number,
    String routeName,
    Priority priority,
    boolean isLong,
    RequestSize size,
    PromptPrefix promptPrefix,
    long goalMillis,
    long patienceMillis,
    long deadlineMillis,
    long gapGoalMillis,
    long waitedMillis,
    boolean hasBeenSent,
    boolean isContinuation,
    boolean isCallerRetry,
    Set<String> excludedEndpointIds) {
  /** Copies the set. */
  public Ticket {
    excludedEndpointIds = Set.copyOf(excludedEndpointIds);
  }

  /** Returns this ticket with another judgement of the length of its answer. */
  Ticket withLong(boolean newIsLong) {
    return new Ticket(
        number,
        routeName,
        priority,
        newIsLong,
        size,
        promptPrefix,
        goalMillis,
        patienceMillis,
        deadlineMillis,
        gapGoalMillis,
        waitedMillis,
        hasBeenSent,
        isContinuation,
        isCallerRetry,
        excludedEndpointIds);
  }
}
