package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/** The estimated size of a request of a route, in tokens. */
public record RouteCost(double prefillTokens, double decodeTokens) {
  /**
   * The cost of a generated token relative to a prompt token. Engines process prompt tokens in
   * parallel but generate tokens one by one, which takes several times as much capacity per token.
   */
  public static final double DECODE_WEIGHT = 8;

  /** Checks that the sizes are not negative. */
  public RouteCost {
    Checks.check(prefillTokens >= 0, "prefillTokens must not be negative");
    Checks.check(decodeTokens >= 0, "decodeTokens must not be negative");
  }

  /** Returns the cost in prompt tokens; at least 1. */
  public double costTokens() {
    return Math.max(1, prefillTokens + DECODE_WEIGHT * decodeTokens);
  }
}
