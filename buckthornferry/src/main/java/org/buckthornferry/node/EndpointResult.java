package org.buckthornferry.node;

/**
 * The measured end of a dispatch.
 *
 * @param headSent whether the caller has received the head of the response
 * @param connectionLost whether the connection to the endpoint ended before the response did
 * @param bodyWhole whether {@code body} is the whole response; false for streams that were not kept
 * @param tokens the tokens that were received; 0 for plain services
 * @param firstByteNanos the time from dispatch to the first byte of the body, in nanoseconds
 * @param totalNanos the time from dispatch to the end, in nanoseconds
 */
@SuppressWarnings("ArrayRecordComponent") // The body is stored or passed on and never compared.
record EndpointResult(
    EndpointOutcome outcome,
    String detail,
    boolean headSent,
    boolean connectionLost,
    int status,
    String contentType,
    byte[] body,
    boolean bodyWhole,
    long tokens,
    long firstByteNanos,
    long totalNanos) {}
