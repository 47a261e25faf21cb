package org.buckthornferry.routing;

import java.util.List;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.util.Checks;

/**
 * A request that is ready for dispatch: authenticated, claimed and authorized.
 *
 * @param customerWeight the customer's weight in fair queueing
 * @param contentHash the hash of the content, which identifies requests that crash endpoints
 * @param prefixHashes the hash of each block-aligned prefix of the prompt, shortest first
 * @param promptTokens the number of tokens in the prompt, or 0 when unknown
 * @param sizeBytes the memory that the request uses while it is queued
 * @param arrivedNanos when the request arrived, in monotonic nanoseconds
 * @param deadlineNanos the deadline for the whole response, in monotonic nanoseconds
 * @param handedOver whether a peer handed the request over to this instance
 */
public record PendingRequest(
    String requestId,
    String serviceId,
    String routePath,
    Tier tier,
    String customerId,
    int customerWeight,
    String contentHash,
    List<Long> prefixHashes,
    long promptTokens,
    long sizeBytes,
    long arrivedNanos,
    long deadlineNanos,
    boolean handedOver) {
  /** Checks that the values are present and positive where needed, and copies the list. */
  public PendingRequest {
    Checks.notEmpty(requestId, "requestId");
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(routePath, "routePath");
    Checks.notNull(tier, "tier");
    Checks.notEmpty(customerId, "customerId");
    Checks.positive(customerWeight, "customerWeight");
    Checks.notEmpty(contentHash, "contentHash");
    prefixHashes = List.copyOf(Checks.notNull(prefixHashes, "prefixHashes"));
    Checks.notNegative(promptTokens, "promptTokens");
    Checks.positive(sizeBytes, "sizeBytes");
  }
}
