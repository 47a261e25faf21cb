/**
 * Forwards caller requests to endpoints and relays the responses: slot reservations, retries,
 * streams resumed at another endpoint, deadlines and caller disconnects. The package {@code
 * dispatch} selects the endpoint of each request. Implementations of {@link
 * org.buckthornferry.relay.CallerProtocol} and {@link org.buckthornferry.relay.EndpointProtocol}
 * define the wire formats.
 */
package org.buckthornferry.relay;
