package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/**
 * A load report of an endpoint.
 *
 * @param startId identifies the endpoint's process; a different value means a restart
 * @param observedNanos the time at which the endpoint sampled the values, on this instance's clock
 * @param cold whether the endpoint reports a cold start
 * @param leaving whether the endpoint announced its shutdown
 * @param running the number of requests that run or wait inside the endpoint
 * @param completedTotal the number of requests that succeeded since the start
 * @param decodeNanosPerToken the current time per token of one stream; 0 when nothing runs
 */
public record LoadReport(
    String endpointId,
    long startId,
    long observedNanos,
    boolean cold,
    boolean leaving,
    int running,
    long completedTotal,
    double decodeNanosPerToken) {
  /** Checks that the endpoint is named and the counts are not negative. */
  public LoadReport {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notNegative(running, "running");
    Checks.notNegative(completedTotal, "completedTotal");
    Checks.check(decodeNanosPerToken >= 0, "decodeNanosPerToken must not be negative");
  }
}
