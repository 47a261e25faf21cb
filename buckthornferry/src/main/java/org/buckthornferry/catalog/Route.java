package org.buckthornferry.catalog;

import java.util.List;

/**
 * A set of requests that are treated alike, selected by host and path.
 *
 * @param host the host name in lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param shares the services that run the requests; never empty
 * @param timeoutMillis the longest time from a request's arrival to the end of its response
 * @param goalMillis the time from arrival to the first event or to the response that callers want
 * @param gapGoalMillis the longest pause between events that callers want; 0 without events
 * @param maxAttempts the most endpoints to which one request is sent
 * @param rank the importance; 0 is the most important
 * @param isOpen whether requests need no customer key
 * @param isResumable whether a broken stream may be continued at another endpoint
 * @param homeRegions the regions in which requests may run; empty for all
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<ServiceShare> shares,
    long timeoutMillis,
    long goalMillis,
    long gapGoalMillis,
    int maxAttempts,
    int rank,
    boolean isOpen,
    boolean isResumable,
    List<String> homeRegions) {

  /** The share of a route's requests that a service gets. */
  public record ServiceShare(String serviceName, double weight) {}

  /** Copies the lists. */
  public Route {
    shares = List.copyOf(shares);
    homeRegions = List.copyOf(homeRegions);
  }

  /** Returns whether a request may run more than once. */
  public boolean mayRunAgain() {
    return kind.mayRunAgain(isResumable);
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
    for (ServiceShare share : shares) {
      total += share.weight();
    }
    double rest = point * total;
    for (ServiceShare share : shares) {
      rest -= share.weight();
      if (rest < 0) {
        return share.serviceName();
      }
    }
    return shares.get(shares.size() - 1).serviceName();
  }
}
