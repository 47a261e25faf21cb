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

/** Limits the declared concurrency of endpoints by their observed health. */
final class ObservedBudgets implements BudgetSource {
  private final Blackboard blackboard;
  private final DeclaredBudgets declared;
  private final Map<String, LoadSample> loadSamples = new HashMap<>();

  ObservedBudgets(Blackboard blackboard) {
    this.blackboard = blackboard;
    this.declared = new DeclaredBudgets(blackboard);
  }

  void onLoad(String endpointId, LoadSample sample) {
    loadSamples.put(endpointId, sample);
  }

  @Override
  public Optional<EndpointBudget> budgetOf(String endpointId) {
    Optional<EndpointBudget> declaredBudget = declared.budgetOf(endpointId);
    Optional<EndpointStatus> status = blackboard.read(EndpointStates.ENTRY).of(endpointId);
    if (declaredBudget.isEmpty() || status.isEmpty()) {
      return declaredBudget;
    }
    boolean acceptsRequests = status.get().state().acceptsNewRequests();
    long concurrent = acceptsRequests ? status.get().budgetConcurrent() : 0;
    Amounts ceiling = declaredBudget.get().ceiling();
    Amounts limit = Amounts.ofConcurrent(Math.min(concurrent, ceiling.concurrent()));
    return Optional.of(
        new EndpointBudget(limit, ceiling, status.get().state().isLimitedByColdStart()));
  }

  @Override
  public Optional<LoadSample> loadOf(String endpointId) {
    return Optional.ofNullable(loadSamples.get(endpointId));
  }
}
