package org.buckthornferry.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.buckthornferry.routing.ConcurrencyLimits;
import org.buckthornferry.routing.DemandListener;

/**
 * An exact ledger that all instances share; it stands for the expiring grants. The budget of an
 * endpoint is divided by the demand that the instances report.
 */
final class SharedLedger {
  private final ToIntFunction<String> budget;
  private final int instances;
  private final Map<String, Account> accounts = new HashMap<>();

  private static final class Account {
    final int[] running;
    final int[] demand;
    int totalRunning;
    int totalDemand;

    Account(int instances) {
      running = new int[instances];
      demand = new int[instances];
      java.util.Arrays.fill(demand, 1);
      totalDemand = instances;
    }
  }

  SharedLedger(int instances, ToIntFunction<String> budget) {
    this.instances = instances;
    this.budget = budget;
  }

  /** Returns the limits of one instance. */
  ConcurrencyLimits limitsOf(int instance) {
    return new ConcurrencyLimits() {
      @Override
      public int available(String endpointId, long nowNanos) {
        Account account = account(endpointId);
        int total = budget.applyAsInt(endpointId);
        double share = (double) total * account.demand[instance] / account.totalDemand;
        int own = (int) Math.ceil(share) - account.running[instance];
        return Math.max(0, Math.min(own, total - account.totalRunning));
      }

      @Override
      public boolean tryAcquire(String endpointId, long nowNanos) {
        if (available(endpointId, nowNanos) == 0) {
          return false;
        }
        account(endpointId).running[instance]++;
        account(endpointId).totalRunning++;
        return true;
      }

      @Override
      public void release(String endpointId, long nowNanos) {
        account(endpointId).running[instance]--;
        account(endpointId).totalRunning--;
      }
    };
  }

  /** Returns the receiver of one instance's demand. */
  DemandListener demandOf(int instance) {
    return (endpointId, concurrent, nowNanos) -> {
      Account account = account(endpointId);
      int demand = Math.max(1, concurrent);
      account.totalDemand += demand - account.demand[instance];
      account.demand[instance] = demand;
    };
  }

  private Account account(String endpointId) {
    return accounts.computeIfAbsent(endpointId, id -> new Account(instances));
  }
}
