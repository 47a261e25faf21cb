package org.buckthornferry.capacity;

import java.util.Optional;

/** Supplies budgets and load reports of endpoints to the owner of their shard. */
public interface BudgetSource {
  /** Returns the current budget of an endpoint, or empty when the endpoint is unknown. */
  Optional<EndpointBudget> budgetOf(String endpointId);

  /** Returns the latest load report of an endpoint, or empty when there is none. */
  default Optional<LoadSample> loadOf(String endpointId) {
    return Optional.empty();
  }
}
