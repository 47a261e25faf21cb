package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response to a request of an {@link HttpConnector}, on an event loop. */
public interface HttpResponseListener {
  /**
   * Returns the id that responses to this request carry, or an empty string if they carry none. A
   * connection is used for one request of an id only: {@link #matchesRequest} could not tell a late
   * copy of the first response from the second one.
   */
  default String requestId() {
    return "";
  }

  /**
   * Returns whether a response belongs to this request. Otherwise it belongs to an earlier request
   * on the connection and is skipped.
   */
  default boolean matchesRequest(int status, HttpHeaders headers) {
    return true;
  }

  /**
   * Returns whether the request may still be sent. Asked directly before the request is written:
   * opening the connection takes time, and the process may be suspended meanwhile.
   */
  default boolean maySend() {
    return true;
  }

  /** Called when the head of the response has been received. */
  void onHead(int status, HttpHeaders headers);

  /** Called for each received chunk of the body. */
  void onBody(byte[] part);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when the request has failed.
   *
   * @param mayHaveReachedServer whether any byte of the request may have reached the server; if
   *     false, the server certainly did not run the request
   */
  void onFailure(Throwable cause, boolean mayHaveReachedServer);
}
