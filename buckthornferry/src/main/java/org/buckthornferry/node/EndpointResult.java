package org.buckthornferry.node;

/**
 * The result of a dispatch to an endpoint, with its response and its timings.
 *
 * @param headSent whether the head of the response was sent to the caller
 * @param connectionLost whether the connection to the endpoint failed before the response was
 *     complete
 * @param bodyComplete whether {@code body} is the complete response; false for unrecorded streams
 * @param tokens the number of tokens received; 0 for plain services
 * @param firstByteNanos the time from dispatch to the first byte of the body, in nanoseconds
 * @param totalNanos the time from dispatch to the end, in nanoseconds
 */
@SuppressWarnings("ArrayRecordComponent") // The body is stored or forwarded and never compared.
record EndpointResult(
    EndpointOutcome outcome,
    String detail,
    boolean headSent,
    boolean connectionLost,
    int status,
    String contentType,
    byte[] body,
    boolean bodyComplete,
    long tokens,
    long firstByteNanos,
    long totalNanos) {}
