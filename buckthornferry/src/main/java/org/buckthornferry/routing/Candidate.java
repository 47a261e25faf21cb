package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * An endpoint with free capacity for a request, and the estimate by which it is compared.
 *
 * @param finishNanos when the whole response is expected, in monotonic nanoseconds
 * @param cachedTokens the prompt tokens that are expected to be in the endpoint's prefix cache
 */
public record Candidate(String endpointId, String version, long finishNanos, long cachedTokens) {
  /** Checks that the ids are not empty and the token count is not negative. */
  public Candidate {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notEmpty(version, "version");
    Checks.notNegative(cachedTokens, "cachedTokens");
  }
}
