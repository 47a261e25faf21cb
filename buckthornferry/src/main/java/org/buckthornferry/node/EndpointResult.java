package org.buckthornferry.node;

/**
 * The measured end of a dispatch.
 *
 * @param headSent whether the caller has received the head of the response
 * @param tokens the tokens that were received; 0 for plain services
 * @param firstByteNanos the time from dispatch to the first byte of the body, in nanoseconds
 * @param totalNanos the time from dispatch to the end, in nanoseconds
 */
@SuppressWarnings("ArrayRecordComponent") // The body is stored or passed on and never compared.
record EndpointResult(
    EndpointOutcome outcome,
    String detail,
    boolean headSent,
    int status,
    byte[] body,
    long tokens,
    long firstByteNanos,
    long totalNanos) {}
