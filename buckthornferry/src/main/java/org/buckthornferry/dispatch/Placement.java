package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Endpoint;

/**
 * The decision to send a request to an endpoint.
 *
 * @param reservationMillis how long a reserved slot is held until the request is sent; 0 when the
 *     request is sent without a reservation
 * @param needsPermit whether the endpoint limits the rate of requests over all instances
 * @param isForwarded whether another instance passes the request on, because this one is cut off
 */
public record Placement(
    WaitingRequest request,
    Endpoint endpoint,
    long reservationMillis,
    boolean needsPermit,
    boolean isForwarded) {
  /** Creates a placement on an endpoint without a rate limit. */
  public Placement(WaitingRequest request, Endpoint endpoint, long reservationMillis) {
    this(request, endpoint, reservationMillis, /* needsPermit= */ false, /* isForwarded= */ false);
  }

  /** Returns whether a slot has to be reserved before the request is sent. */
  public boolean needsReservation() {
    return reservationMillis > 0;
  }

  /** Returns whether the request waits for a reservation or a permit before it is sent. */
  public boolean needsGrant() {
    return needsReservation() || needsPermit;
  }
}
