package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/**
 * What an endpoint reports about itself.
 *
 * @param startId identifies the run of the endpoint's process; another value means a restart
 * @param observedNanos when the endpoint took the values, on this instance's clock
 * @param cold whether the endpoint says that it is in cold start
 * @param leaving whether the endpoint announced that it stops
 * @param running the requests that run or wait inside the endpoint
 * @param completedTotal the requests that succeeded since the start
 * @param decodeNanosPerToken the time per token of one stream now; 0 when nothing runs
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
