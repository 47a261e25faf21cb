package org.buckthornferry.routing;

import org.buckthornferry.error.RequestException;

/** Executes routing decisions. Called on the control thread; must not block. */
public interface Dispatcher {
  /** Sends a request to an endpoint. Called once, or again only after the endpoint refused it. */
  void dispatch(PendingRequest request, String endpointId);

  /**
   * Answers a request with an error. It was never dispatched, or the endpoint refused to run it.
   */
  void refuse(PendingRequest request, RequestException reason);

  /** Requests that a running request moves away from an endpoint that is drained or leaving. */
  void move(PendingRequest request, String endpointId);
}
