package org.buckthornferry.node;

import java.util.Optional;
import java.util.OptionalLong;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.CustomerDeclaration;

/**
 * A caller's request with validated headers.
 *
 * @param idempotencyKey the caller's key, or empty when the caller sent none
 * @param receivedNanos when the request was received, on the monotonic clock
 * @param deadlineNanos when the response must be complete, on the monotonic clock
 * @param resumeFromOffset the last stream offset that the caller has received, or empty
 */
@SuppressWarnings("ArrayRecordComponent") // The body is forwarded and never compared.
record CallerRequest(
    String requestId,
    CustomerDeclaration customer,
    RequestCatalog.Target target,
    Tier tier,
    Optional<String> idempotencyKey,
    byte[] body,
    long receivedNanos,
    long deadlineNanos,
    OptionalLong resumeFromOffset) {}
