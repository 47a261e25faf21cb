package org.buckthornferry.endpoint;

import org.buckthornferry.util.Checks;

/**
 * What the health of an endpoint allows.
 *
 * @param budgetConcurrent the requests that the endpoint may run at once in the whole fleet
 */
public record EndpointStatus(EndpointState state, int budgetConcurrent) {
  /** Checks that the state is present and the budget is not negative. */
  public EndpointStatus {
    Checks.notNull(state, "state");
    Checks.notNegative(budgetConcurrent, "budgetConcurrent");
  }
}
