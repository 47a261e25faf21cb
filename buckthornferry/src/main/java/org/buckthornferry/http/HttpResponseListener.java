package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response to a request of an {@link HttpConnector}, on an event loop. */
public interface HttpResponseListener {
  /**
   * Returns whether a response answers this request. One that does not belongs to an earlier
   * request on the connection; it is read and dropped, and the next response is waited for.
   */
  default boolean isOwnResponse(int status, HttpHeaders headers) {
    return true;
  }

  /** The head of the response has arrived. */
  void onHead(int status, HttpHeaders headers);

  /** A part of the body has arrived. */
  void onBody(byte[] part);

  /** The response has ended in full. */
  void onEnd();

  /**
   * The request failed.
   *
   * @param mayHaveReachedServer whether any byte of the request may have reached the server; when
   *     false, the server certainly did not run the request
   */
  void onFailure(Throwable cause, boolean mayHaveReachedServer);
}
