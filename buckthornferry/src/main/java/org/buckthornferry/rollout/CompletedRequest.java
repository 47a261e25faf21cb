package org.buckthornferry.rollout;

import org.buckthornferry.util.Checks;

/**
 * The result of a request at an endpoint, as evidence about the version of the endpoint.
 *
 * @param failed whether the endpoint failed the request; refused and cancelled requests are no
 *     evidence and are not recorded
 * @param latencyNanos the latency per unit of estimated cost, in nanoseconds, so that short and
 *     long requests of a route are comparable
 */
public record CompletedRequest(
    String serviceId, String version, String route, boolean failed, double latencyNanos) {
  /** Checks that the identifiers are present. */
  public CompletedRequest {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(version, "version");
    Checks.notEmpty(route, "route");
  }
}
