package org.buckthornferry.relay;

import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.ProblemDocument;

/** Wire format of caller requests and of error responses to callers. */
public interface CallerProtocol {
  /**
   * Decodes a request.
   *
   * @throws RequestException of kind {@code BAD_REQUEST} when a required field is missing
   */
  CallerRequest decode(HttpExchange exchange);

  /** Encodes the error response to a request that failed in this instance. */
  ProblemDocument errorResponse(String requestId, RequestException failure);
}
