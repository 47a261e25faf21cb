package org.buckthornferry.routing;

import org.buckthornferry.error.RequestException;

/** Carries out the decisions about requests. Called on the control thread; must not block. */
public interface Dispatcher {
  /** Sends a request to an endpoint. Called once, or again only after the endpoint refused it. */
  void dispatch(PendingRequest request, String endpointId);

  /** Answers a request that was not dispatched, or that the endpoint refused to run. */
  void refuse(PendingRequest request, RequestException reason);

  /** Asks to move a running request away from an endpoint that is drained or leaving. */
  void move(PendingRequest request, String endpointId);
}
