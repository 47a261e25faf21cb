package org.buckthornferry.config;

import org.buckthornferry.admission.Tier;
import org.buckthornferry.util.Checks;

/**
 * The limits of one tier of a service.
 *
 * @param deadlineMillis the default deadline of requests that set none, in milliseconds
 * @param maxWaitMillis the longest time that a request waits for an endpoint, in milliseconds
 */
public record TierDeclaration(Tier tier, long deadlineMillis, long maxWaitMillis) {
  /** Checks that the limits are positive. */
  public TierDeclaration {
    Checks.notNull(tier, "tier");
    Checks.positive(deadlineMillis, "deadlineMillis");
    Checks.positive(maxWaitMillis, "maxWaitMillis");
  }
}
