package org.buckthornferry.catalog;

import java.util.Optional;

/**
 * A group of endpoints that serve the same requests.
 *
 * @param maxConnections the maximum number of connections of all instances to one endpoint
 * @param warmupMillis how long an endpoint stays cold after its start
 * @param coldRequestsPerSecond the rate limit of a cold endpoint over all instances, in requests
 *     per second; 0 for no limit
 * @param reservations the slot reservations, or empty when the endpoints offer none
 * @param isFleetScheduled whether the requests of all instances wait in one queue
 * @param scaling the terms on which the number of endpoints may be changed, or empty when it is
 *     fixed
 */
public record Service(
    String name,
    int maxConnections,
    long warmupMillis,
    double coldRequestsPerSecond,
    Optional<Reservations> reservations,
    boolean isFleetScheduled,
    Optional<Scaling> scaling) {

  /** Creates a service with a fixed number of endpoints. */
  public Service(
      String name,
      int maxConnections,
      long warmupMillis,
      double coldRequestsPerSecond,
      Optional<Reservations> reservations,
      boolean isFleetScheduled) {
    this(
        name,
        maxConnections,
        warmupMillis,
        coldRequestsPerSecond,
        reservations,
        isFleetScheduled,
        Optional.empty());
  }

  /** Creates a service whose requests wait at the instances that received them. */
  public Service(
      String name,
      int maxConnections,
      long warmupMillis,
      double coldRequestsPerSecond,
      Optional<Reservations> reservations) {
    this(name, maxConnections, warmupMillis, coldRequestsPerSecond, reservations, false);
  }

  /**
   * The slot reservations that model engines offer before a request is sent.
   *
   * @param maxMillis the longest duration of a reservation
   */
  public record Reservations(long maxMillis) {
    /** The default duration; it covers several round trips without leaving slots unused. */
    private static final long DEFAULT_MILLIS = 500;

    /** Returns how long a slot is reserved, in milliseconds. */
    public long durationMillis() {
      return Math.min(DEFAULT_MILLIS, maxMillis);
    }
  }

  /**
   * The terms on which the number of endpoints may be changed.
   *
   * @param min the smallest number of endpoints in each failure domain
   * @param max the largest number of endpoints in each failure domain
   * @param startupMillis the time from the order of an endpoint until it serves
   */
  public record Scaling(int min, int max, long startupMillis) {
    /** Fails if the limits are negative or contradict each other. */
    public Scaling {
      if (min < 0 || max < min || startupMillis < 0) {
        throw new IllegalArgumentException(
            "invalid scaling terms: min " + min + ", max " + max + ", startup " + startupMillis);
      }
    }
  }
}
