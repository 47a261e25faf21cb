package org.buckthornferry.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Map;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpExchange;

/** Writes the responses that several stand-ins have in common. */
final class Replies {
  private static final byte[] NO_BODY = {};

  private Replies() {}

  static void json(HttpExchange exchange, int status, Object body) {
    try {
      exchange.respondJson(status, Json.MAPPER.writeValueAsString(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static void error(HttpExchange exchange, int status, String detail) {
    json(exchange, status, Map.of("error", detail));
  }

  static void empty(HttpExchange exchange, int status) {
    exchange.respond(status, Map.of(), NO_BODY);
  }

  /** Refuses a request that was not run, as the endpoint protocol demands. */
  static void notRun(HttpExchange exchange, String detail) {
    exchange.respond(
        503,
        Map.of(
            "Not-Run",
            "true",
            "Request-Id",
            exchange.header("Request-Id").orElse(""),
            "Content-Type",
            "text/plain"),
        detail.getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }
}
