package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/**
 * The state of an endpoint and the concurrency that it allows.
 *
 * @param budgetConcurrent the requests that the endpoint may run at once, for all instances
 *     together
 */
public record EndpointStatus(EndpointState state, int budgetConcurrent) {
  /** Checks that the state is present and the budget is not negative. */
  public EndpointStatus {
    Checks.notNull(state, "state");
    Checks.notNegative(budgetConcurrent, "budgetConcurrent");
  }
}
