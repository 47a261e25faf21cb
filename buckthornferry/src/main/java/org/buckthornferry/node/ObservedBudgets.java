package org.buckthornferry.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.capacity.BudgetSource;
import org.buckthornferry.capacity.DeclaredBudgets;
import org.buckthornferry.capacity.EndpointBudget;
import org.buckthornferry.capacity.LoadSample;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.endpoint.EndpointStatus;
import org.buckthornferry.peer.Amounts;

/** Budgets from the declared concurrency and the observed health of endpoints. */
final class ObservedBudgets implements BudgetSource {
  private final Blackboard blackboard;
  private final DeclaredBudgets declared;
  private final Map<String, LoadSample> loads = new HashMap<>();

  ObservedBudgets(Blackboard blackboard) {
    this.blackboard = blackboard;
    this.declared = new DeclaredBudgets(blackboard);
  }

  void onLoad(String endpointId, LoadSample sample) {
    loads.put(endpointId, sample);
  }

  @Override
  public Optional<EndpointBudget> budgetOf(String endpointId) {
    Optional<EndpointBudget> bound = declared.budgetOf(endpointId);
    Optional<EndpointStatus> status = blackboard.read(EndpointStates.ENTRY).of(endpointId);
    if (bound.isEmpty() || status.isEmpty()) {
      return bound;
    }
    boolean takesWork = status.get().state().acceptsNewRequests();
    long concurrent = takesWork ? status.get().budgetConcurrent() : 0;
    Amounts ceiling = bound.get().ceiling();
    Amounts limit = Amounts.ofConcurrent(Math.min(concurrent, ceiling.concurrent()));
    return Optional.of(
        new EndpointBudget(limit, ceiling, status.get().state().isLimitedByColdStart()));
  }

  @Override
  public Optional<LoadSample> loadOf(String endpointId) {
    return Optional.ofNullable(loads.get(endpointId));
  }
}
