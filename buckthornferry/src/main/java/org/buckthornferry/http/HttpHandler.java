package org.buckthornferry.http;

/** Handles the requests of an HTTP server. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles one request with its complete body. Runs on an event loop and must not block; the
   * response may be written later, from any thread.
   */
  void handle(HttpExchange exchange);
}
