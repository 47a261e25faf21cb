package org.buckthornferry.measure;

import org.buckthornferry.routing.PendingRequest;

/**
 * A request of the measurement with its true size, which the schedulers do not know.
 *
 * @param decodeTokens the tokens that the request generates
 * @param poison whether the request crashes each engine that runs it
 */
record Work(PendingRequest request, long decodeTokens, boolean poison) {
  String id() {
    return request.requestId();
  }

  double costTokens() {
    return request.promptTokens()
        + org.buckthornferry.endpoint.RouteCost.DECODE_WEIGHT * decodeTokens;
  }
}
