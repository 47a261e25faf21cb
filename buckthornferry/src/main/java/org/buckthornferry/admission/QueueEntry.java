package org.buckthornferry.admission;

import org.buckthornferry.util.Checks;

/**
 * What the waiting queue knows about a request.
 *
 * @param customerWeight the customer's share relative to other customers
 * @param costTokens the estimated cost of the request, in tokens
 * @param latestStartNanos the deadline minus the estimated run time; the smaller, the less slack
 * @param sizeBytes the memory that the request occupies while it waits
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
