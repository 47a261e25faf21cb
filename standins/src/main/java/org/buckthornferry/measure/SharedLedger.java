package org.buckthornferry.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.buckthornferry.routing.ConcurrencyLimits;

/** An exact ledger that all instances share; it stands for the expiring grants. */
final class SharedLedger implements ConcurrencyLimits {
  private final Map<String, Integer> running = new HashMap<>();
  private final ToIntFunction<String> budget;

  SharedLedger(ToIntFunction<String> budget) {
    this.budget = budget;
  }

  @Override
  public int available(String endpointId, long nowNanos) {
    return Math.max(0, budget.applyAsInt(endpointId) - running.getOrDefault(endpointId, 0));
  }

  @Override
  public boolean tryAcquire(String endpointId, long nowNanos) {
    if (available(endpointId, nowNanos) == 0) {
      return false;
    }
    running.merge(endpointId, 1, Integer::sum);
    return true;
  }

  @Override
  public void release(String endpointId, long nowNanos) {
    running.merge(endpointId, -1, Integer::sum);
  }
}
