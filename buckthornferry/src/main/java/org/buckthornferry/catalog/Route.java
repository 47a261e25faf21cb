package org.buckthornferry.catalog;

import java.util.List;

/**
 * A set of requests that are treated alike, selected by host and path.
 *
 * @param host the host name in lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param weightedServices the services that run the requests; never empty
 * @param timeoutMillis the longest time from a request's arrival to the end of its response
 * @param latencyGoalMillis the time from arrival to the first event or to the response that callers
 *     want
 * @param gapGoalMillis the longest pause between events that callers want; 0 without events
 * @param maxAttempts the most endpoints to which one request is sent
 * @param priority the importance; 0 is the most important
 * @param isPublic whether requests need no customer key
 * @param isResumable whether a broken stream may be continued at another endpoint
 * @param allowedRegions the regions in which requests may run; empty for all
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedService> weightedServices,
    long timeoutMillis,
    long latencyGoalMillis,
    long gapGoalMillis,
    int maxAttempts,
    int priority,
    boolean isPublic,
    boolean isResumable,
    List<String> allowedRegions) {

  /** The share of a route's requests that a service gets. */
  public record WeightedService(String serviceName, double weight) {}

  /** Copies the lists. */
  public Route {
    weightedServices = List.copyOf(weightedServices);
    allowedRegions = List.copyOf(allowedRegions);
  }

  /** Returns whether a request may run more than once. */
  public boolean isRetryable() {
    return kind.isRetryable(isResumable);
  }

  /** Returns whether responses are series of events. */
  public boolean isStream() {
    return kind == RouteKind.STREAMING;
  }

  /**
   * Returns the service for a request.
   *
   * @param point a number from 0 (inclusive) to 1 that is spread evenly over the requests
   */
  public String chooseService(double point) {
    double total = 0;
    for (WeightedService share : weightedServices) {
      total += share.weight();
    }
    double rest = point * total;
    for (WeightedService share : weightedServices) {
      rest -= share.weight();
      if (rest < 0) {
        return share.serviceName();
      }
    }
    return weightedServices.get(weightedServices.size() - 1).serviceName();
  }
}
