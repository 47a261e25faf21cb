package org.buckthornferry.dispatch;

import org.buckthornferry.catalog.Endpoint;

/**
 * The decision to send a request to an endpoint.
 *
 * @param reservesFirst whether a slot has to be reserved before the request is sent
 */
public record Placement(WaitingRequest request, Endpoint endpoint, boolean reservesFirst) {}
