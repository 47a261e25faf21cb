package org.buckthornferry.fleet;

import java.util.List;
import java.util.Map;
import org.buckthornferry.control.BlackboardEntry;

/**
 * The live instances and this one's part of what they share.
 *
 * @param instanceIds the live instances including this one
 * @param allowanceShares this instance's part of the allowance by customer name; customers that are
 *     missing have an equal part
 * @param demandPerSecond what each customer asks of all instances, in its unit
 * @param validUntilNanos until when the demand may be relied on
 */
public record FleetView(
    List<String> instanceIds,
    Map<String, Double> allowanceShares,
    Map<String, Double> demandPerSecond,
    long validUntilNanos) {
  /** Holds before the first listing. */
  public static final FleetView EMPTY = new FleetView(List.of(), Map.of(), Map.of(), 0);

  /** The current view. */
  public static final BlackboardEntry<FleetView> ENTRY = BlackboardEntry.of("fleet", EMPTY);

  /** Assumed while no instance has been listed, so that unknown others have their parts. */
  private static final int UNKNOWN_INSTANCES = 16;

  /** Copies the collections. */
  public FleetView {
    instanceIds = List.copyOf(instanceIds);
    allowanceShares = Map.copyOf(allowanceShares);
    demandPerSecond = Map.copyOf(demandPerSecond);
  }

  /** Returns the number of instances that share a bound. */
  public int instances() {
    return instanceIds.isEmpty() ? UNKNOWN_INSTANCES : instanceIds.size();
  }

  /** Returns this instance's part of a customer's allowance, from 0 to 1. */
  public double allowanceShare(String customerName) {
    return allowanceShares.getOrDefault(customerName, 1.0 / instances());
  }

  /** Returns what a customer asks of all instances, per second. */
  public double demandPerSecond(String customerName) {
    return demandPerSecond.getOrDefault(customerName, 0.0);
  }

  /** Returns whether the demand may still be relied on. */
  public boolean isFresh(long nowNanos) {
    return !instanceIds.isEmpty() && validUntilNanos - nowNanos > 0;
  }
}
