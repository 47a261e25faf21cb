package org.buckthornferry.catalog;

import java.util.Optional;

/**
 * A group of endpoints that run the same requests.
 *
 * @param maxConnections the connections that one endpoint accepts from all instances together
 * @param warmupMillis how long an endpoint stays cold after its start
 * @param coldRequestsPerSecond the requests per second that a cold endpoint bears from all
 *     instances; 0 when cold endpoints need no care
 * @param reservations how slots are reserved, or empty when the endpoints offer no reservations
 */
public record Service(
    String name,
    int maxConnections,
    long warmupMillis,
    double coldRequestsPerSecond,
    Optional<Reservations> reservations) {

  /**
   * Slots of model engines can be reserved before a request is sent.
   *
   * @param maxMillis the longest time for which a reservation holds
   */
  public record Reservations(long maxMillis) {
    /** The usual time, in milliseconds: several round trips, but no wasted slot. */
    private static final long USUAL_MILLIS = 500;

    /** Returns for how long a slot is reserved, in milliseconds. */
    public long durationMillis() {
      return Math.min(USUAL_MILLIS, maxMillis);
    }
  }
}
