package org.buckthornferry.rollout;

import org.buckthornferry.util.Checks;

/**
 * A request that ended at an endpoint, as evidence about a version.
 *
 * @param failed whether the endpoint failed the request; refusals and cancelled requests are not
 *     evidence and are not reported
 * @param latencyNanos the latency per unit of estimated cost, in nanoseconds, so that short and
 *     long requests of a route compare
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
