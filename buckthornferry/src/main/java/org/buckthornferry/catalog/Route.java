package org.buckthornferry.catalog;

import java.util.List;

/**
 * A set of requests that are treated alike, selected by host and path.
 *
 * @param host the host name in lower case, without a port
 * @param pathPrefix starts and ends with a slash
 * @param weightedServices the services among which the requests are divided; never empty
 * @param timeoutMillis the longest time from a request's arrival to the end of its response
 * @param latencyGoalMillis the desired time from arrival to the first event or to the response
 * @param gapGoalMillis the desired maximum time between events; 0 without events
 * @param maxAttempts the maximum number of endpoints to which one request is sent
 * @param priority 0 is the highest
 * @param isPublic whether requests need no API key
 * @param isResumable whether an interrupted stream may be continued at another endpoint
 * @param allowedRegions the regions in which requests may run; empty for all
 * @param patienceMillis how long callers wait for the first event before they leave
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
    List<String> allowedRegions,
    long patienceMillis) {

  /** Makes defensive copies of the lists. */
  public Route {
    weightedServices = List.copyOf(weightedServices);
    allowedRegions = List.copyOf(allowedRegions);
  }

  /** Creates a route whose callers wait until its timeout. */
  public Route(
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
    this(
        name,
        host,
        pathPrefix,
        kind,
        weightedServices,
        timeoutMillis,
        latencyGoalMillis,
        gapGoalMillis,
        maxAttempts,
        priority,
        isPublic,
        isResumable,
        allowedRegions,
        timeoutMillis);
  }

  /** A service and its weight in the division of a route's requests. */
  public record WeightedService(String serviceName, double weight) {}

  /** Returns whether a request may be retried after it may have run. */
  public boolean isRetryable() {
    return kind.isRetryable(isResumable);
  }

  /** Returns whether responses are event streams. */
  public boolean isStream() {
    return kind == RouteKind.STREAMING;
  }

  /**
   * Returns the service for a request by weighted choice.
   *
   * @param point a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over requests
   */
  public String chooseService(double point) {
    double totalWeight = 0;
    for (WeightedService service : weightedServices) {
      totalWeight += service.weight();
    }
    double remaining = point * totalWeight;
    for (WeightedService service : weightedServices) {
      remaining -= service.weight();
      if (remaining < 0) {
        return service.serviceName();
      }
    }
    return weightedServices.get(weightedServices.size() - 1).serviceName();
  }
}
