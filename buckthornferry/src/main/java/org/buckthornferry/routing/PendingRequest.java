package org.buckthornferry.routing;

import java.util.List;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.util.Checks;

/**
 * A request that is ready for dispatch: identified, claimed and within its customer's rights.
 *
 * @param customerWeight the customer's share relative to other customers
 * @param contentHash the hash of the content, by which requests that crash endpoints are known
 * @param prefixHashes the hash of each prefix of the prompt that ends at a block, shortest first
 * @param promptTokens the tokens of the prompt, or 0 when unknown
 * @param sizeBytes the memory that the request occupies while it waits
 * @param arrivedNanos when the request arrived, in monotonic nanoseconds
 * @param deadlineNanos when the caller needs the whole response, in monotonic nanoseconds
 * @param handedOver whether a peer handed the request to this instance
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
  /** Checks that the values are present and copies the list. */
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
