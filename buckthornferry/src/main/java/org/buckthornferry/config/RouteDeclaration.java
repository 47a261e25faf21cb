package org.buckthornferry.config;

import org.buckthornferry.admission.Tier;
import org.buckthornferry.util.Checks;

/**
 * A request path of a service.
 *
 * @param tier the tier of requests that do not ask for a lower one
 * @param idempotent whether a request may safely run more than once
 * @param expectedPrefillTokens the initial estimate of prompt tokens; 1 for plain services
 * @param expectedDecodeTokens the initial estimate of generated tokens; 1 for plain services
 */
public record RouteDeclaration(
    String path,
    Tier tier,
    boolean idempotent,
    long expectedPrefillTokens,
    long expectedDecodeTokens) {
  /** Checks that the path is absolute and the estimates are positive. */
  public RouteDeclaration {
    Checks.check(path != null && path.startsWith("/"), "path must start with /");
    Checks.notNull(tier, "tier");
    Checks.positive(expectedPrefillTokens, "expectedPrefillTokens");
    Checks.positive(expectedDecodeTokens, "expectedDecodeTokens");
  }
}
