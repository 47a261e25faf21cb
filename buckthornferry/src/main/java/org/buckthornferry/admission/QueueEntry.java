package org.buckthornferry.admission;

import org.buckthornferry.util.Checks;

/**
 * A request in the waiting queue.
 *
 * @param customerWeight the weight of the customer relative to other customers
 * @param costTokens the estimated cost of the request, in tokens
 * @param latestStartNanos the deadline minus the estimated run time; a smaller value is less slack
 * @param sizeBytes the memory that the request uses while it waits
 */
public record QueueEntry(
    String requestId,
    Tier tier,
    String customerId,
    int customerWeight,
    double costTokens,
    long latestStartNanos,
    long sizeBytes) {
  /** Checks that the identifiers are present and the sizes are positive. */
  public QueueEntry {
    Checks.notEmpty(requestId, "requestId");
    Checks.notNull(tier, "tier");
    Checks.notEmpty(customerId, "customerId");
    Checks.positive(customerWeight, "customerWeight");
    Checks.check(costTokens > 0, "costTokens must be positive");
    Checks.positive(sizeBytes, "sizeBytes");
  }

  /** Returns the cost divided by the weight of the customer. */
  double weightedCost() {
    return costTokens / customerWeight;
  }
}
