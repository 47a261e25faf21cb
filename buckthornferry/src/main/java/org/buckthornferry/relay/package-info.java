/**
 * Carries callers' requests to endpoints and the answers back: reservations, second attempts,
 * streams that go on at another endpoint, deadlines, callers that leave. Which endpoint gets a
 * request is decided in {@code dispatch}; how requests and answers look on the wire is decided by
 * implementations of {@link org.buckthornferry.relay.CallerProtocol} and {@link
 * org.buckthornferry.relay.EndpointProtocol}.
 */
package org.buckthornferry.relay;
