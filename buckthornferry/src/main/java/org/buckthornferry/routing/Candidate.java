package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * An endpoint that could run a request now.
 *
 * @param finishNanos the estimated time of the whole response, in monotonic nanoseconds
 * @param cachedTokens the prompt tokens that the endpoint probably has cached
 */
public record Candidate(String endpointId, String version, long finishNanos, long cachedTokens) {
  /** Checks that the endpoint is named. */
  public Candidate {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notEmpty(version, "version");
    Checks.notNegative(cachedTokens, "cachedTokens");
  }
}
