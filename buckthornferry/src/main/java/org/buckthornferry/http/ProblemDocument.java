package org.buckthornferry.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

/** An error response: a problem document as defined by RFC 9457. */
@SuppressWarnings("ArrayRecordComponent") // Documents are written once and never compared.
public record ProblemDocument(int status, Map<String, String> headers, byte[] body) {
  /** Returns the document for a failed request. */
  public static ProblemDocument of(RequestException failure) {
    return of(failure, failure.kind().httpStatus());
  }

  /** Returns the document for a failed request with the given status instead of the usual one. */
  public static ProblemDocument of(RequestException failure, int httpStatus) {
    ErrorKind kind = failure.kind();
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("type", "urn:buckthornferry:error:" + kind.name());
    node.put("title", kind.title());
    node.put("status", httpStatus);
    node.put("detail", failure.getMessage());
    node.put("errorKind", kind.name());
    node.put("notRun", kind.notRun());
    node.put("retryAdvice", kind.retryAdvice().name());
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/problem+json");
    headers.put("Cache-Control", "no-store");
    if (failure.retryAfterMillis() > 0) {
      node.put("retryAfterMillis", failure.retryAfterMillis());
      headers.put("Retry-After", Long.toString(wholeSeconds(failure.retryAfterMillis())));
    }
    return new ProblemDocument(
        httpStatus, headers, node.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the document with an additional header. */
  public ProblemDocument withHeader(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new ProblemDocument(status, more, body);
  }

  /** Sends the document as the complete response of an exchange. */
  public void sendTo(HttpExchange exchange) {
    exchange.respond(status, headers, body);
  }

  private static long wholeSeconds(long millis) {
    return (millis + TimeUnit.SECONDS.toMillis(1) - 1) / TimeUnit.SECONDS.toMillis(1);
  }
}
