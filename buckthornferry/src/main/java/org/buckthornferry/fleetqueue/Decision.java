package org.buckthornferry.fleetqueue;

import org.buckthornferry.error.ErrorKind;

/**
 * What the coordinator decides about a ticket.
 *
 * @param endpointId the endpoint that has a slot for the request; empty if it is refused
 * @param reason why the request is refused; {@link ErrorKind#SHED} if it is not
 * @param detail a description of the reason; empty if the request is not refused
 * @param retryAfterMillis when a place is expected for a refused request
 */
public record Decision(
    long ticketNumber, String endpointId, ErrorKind reason, String detail, long retryAfterMillis) {
  /** Returns the decision to send a request to an endpoint. */
  public static Decision grant(long ticketNumber, String endpointId) {
    return new Decision(ticketNumber, endpointId, ErrorKind.SHED, "", 0);
  }

  /** Returns the decision to refuse a request. */
  public static Decision refusal(
      long ticketNumber, ErrorKind reason, String detail, long retryAfterMillis) {
    return new Decision(ticketNumber, "", reason, detail, retryAfterMillis);
  }

  /** Returns whether the request may be sent. */
  public boolean isGranted() {
    return !endpointId.isEmpty();
  }
}
