package org.buckthornferry.relay;

import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.ProblemDocument;

/** How callers' requests and the refusals to them look on the wire. */
public interface CallerProtocol {
  /**
   * Reads a request.
   *
   * @throws RequestException of kind {@code BAD_REQUEST} when a required field is missing
   */
  CallerRequest decode(HttpExchange exchange);

  /** Returns the answer to a request that failed in this instance. */
  ProblemDocument refusal(String requestId, RequestException failure);
}
