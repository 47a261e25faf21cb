package org.buckthornferry.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.peer.Amounts;

/** Supplies budgets from {@code maxConcurrent} of the declared endpoints. */
public final class DeclaredBudgets implements BudgetSource {
  private final Blackboard blackboard;
  private final Map<String, EndpointBudget> budgets = new HashMap<>();
  private long revision;

  /** Creates a source that follows {@link ConfigSnapshot#ENTRY}. */
  public DeclaredBudgets(Blackboard blackboard) {
    this.blackboard = blackboard;
  }

  @Override
  public Optional<EndpointBudget> budgetOf(String endpointId) {
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    if (config.revision() != revision) {
      rebuild(config);
    }
    return Optional.ofNullable(budgets.get(endpointId));
  }

  private void rebuild(ConfigSnapshot config) {
    revision = config.revision();
    budgets.clear();
    for (ServiceDeclaration service : config.declarations().services()) {
      for (EndpointDeclaration endpoint : service.endpoints()) {
        Amounts limit = Amounts.ofConcurrent(endpoint.maxConcurrent());
        budgets.put(endpoint.id(), EndpointBudget.warm(limit));
      }
    }
  }
}
