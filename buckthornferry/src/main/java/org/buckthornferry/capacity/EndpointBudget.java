package org.buckthornferry.capacity;

import org.buckthornferry.peer.Amounts;
import org.buckthornferry.util.Checks;

/**
 * The capacity of one endpoint for all instances together.
 *
 * @param limit the limit over all instances
 * @param ceiling the largest limit that an earlier owner may have used; a new owner counts the
 *     unreported part of it as still in use
 * @param cold whether the endpoint is in cold start
 */
public record EndpointBudget(Amounts limit, Amounts ceiling, boolean cold) {
  /** Checks that the limit is at most the ceiling. */
  public EndpointBudget {
    Checks.notNull(limit, "limit");
    Checks.notNull(ceiling, "ceiling");
    Checks.check(limit.fits(ceiling), "limit must not be above the ceiling");
  }

  /** Returns the budget of a warm endpoint. */
  public static EndpointBudget warm(Amounts limit) {
    return new EndpointBudget(limit, limit, false);
  }
}
