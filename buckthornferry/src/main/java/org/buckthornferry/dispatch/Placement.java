package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Endpoint;

/**
 * The decision to send a request to an endpoint.
 *
 * @param reservationMillis how long a reserved slot is held until the request is sent; 0 when the
 *     request is sent without a reservation
 */
public record Placement(WaitingRequest request, Endpoint endpoint, long reservationMillis) {
  /** Returns whether a slot has to be reserved before the request is sent. */
  public boolean needsReservation() {
    return reservationMillis > 0;
  }
}
