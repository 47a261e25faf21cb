package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Endpoint;

/**
 * The decision to send a request to an endpoint.
 *
 * @param reservationMillis for how long a slot is reserved before the request is sent, in
 *     milliseconds; 0 when the request is sent at once
 */
public record Placement(WaitingRequest request, Endpoint endpoint, long reservationMillis) {
  /** Returns whether a slot has to be reserved before the request is sent. */
  public boolean needsReservation() {
    return reservationMillis > 0;
  }
}
