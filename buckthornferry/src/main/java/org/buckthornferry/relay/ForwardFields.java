package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Header fields of requests that one instance sends to endpoints through another one, and of the
 * responses. All other fields are those of the request to the endpoint and of its response.
 */
final class ForwardFields {
  private static final String PREFIX = "Buckthornferry-Forward-";

  /** The id of the endpoint to which the request is to be sent. */
  static final String ENDPOINT = PREFIX + "Endpoint";

  /** The start of the endpoint's process, in Unix milliseconds. */
  static final String STARTED = PREFIX + "Started";

  /** The id of the caller's request; empty for a control request. */
  static final String REQUEST_ID = PREFIX + "Request-Id";

  /** The name of the {@link org.buckthornferry.http.HttpConnector.Reuse} of the request. */
  static final String REUSE = PREFIX + "Reuse";

  /** How long the forwarding instance may wait for the response, in milliseconds. */
  static final String TIMEOUT_MILLIS = PREFIX + "Timeout-Ms";

  /** In responses without one of the endpoint: the name of a {@link ForwardFailure.Kind}. */
  static final String FAILURE = PREFIX + "Failure";

  /** Present if the endpoint's response ends with its connection. */
  static final String UNFRAMED = PREFIX + "Unframed";

  private ForwardFields() {}

  /** Returns the constant with a name, or another one if there is none. */
  static <E extends Enum<E>> E constant(String name, E other) {
    for (E constant : other.getDeclaringClass().getEnumConstants()) {
      if (constant.name().equals(name)) {
        return constant;
      }
    }
    return other;
  }

  /** Removes the fields of this class, and those that concern one connection only. */
  static void removeHopFields(HttpHeaders headers) {
    for (String name :
        new String[] {ENDPOINT, STARTED, REQUEST_ID, REUSE, TIMEOUT_MILLIS, FAILURE, UNFRAMED}) {
      headers.remove(name);
    }
    headers.remove(HttpHeaderNames.CONNECTION);
    headers.remove("keep-alive");
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
  }
}
