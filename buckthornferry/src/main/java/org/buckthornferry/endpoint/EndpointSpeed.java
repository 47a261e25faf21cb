package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/**
 * The estimated speed of an endpoint at its usual load.
 *
 * @param prefillNanosPerToken the time to process one prompt token
 * @param decodeNanosPerToken the time to generate one token of one stream
 */
public record EndpointSpeed(double prefillNanosPerToken, double decodeNanosPerToken) {
  /** Checks that the times are positive. */
  public EndpointSpeed {
    Checks.check(prefillNanosPerToken > 0, "prefillNanosPerToken must be positive");
    Checks.check(decodeNanosPerToken > 0, "decodeNanosPerToken must be positive");
  }

  /** Returns the estimated run time of a request, in nanoseconds. */
  public double runNanos(double prefillTokens, double decodeTokens) {
    return prefillTokens * prefillNanosPerToken + decodeTokens * decodeNanosPerToken;
  }
}
