package org.buckthornferry.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.Json;

/** Reads the problem document of an answer that is not a success. */
final class ProblemReader {
  private static final int MAX_BYTES = 64 * 1024;

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean notRunHeader;

  record Problem(String errorKind, boolean notRun, long retryAfterMillis) {}

  /** Returns the wait of {@code Retry-After} in milliseconds, or 0. */
  long onHead(HttpHeaders headers) {
    notRunHeader = headers.get("Not-Run", "").equals("true");
    try {
      return TimeUnit.SECONDS.toMillis(Long.parseLong(headers.get("Retry-After", "0")));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  void onBody(byte[] part) {
    if (body.size() + part.length <= MAX_BYTES) {
      body.writeBytes(part);
    }
  }

  Problem read(int status, long headerWaitMillis) {
    try {
      JsonNode node = Json.MAPPER.readTree(body.toByteArray());
      if (node != null && node.hasNonNull("errorKind")) {
        return new Problem(
            node.get("errorKind").asText(),
            node.path("notRun").asBoolean(),
            node.path("retryAfterMillis").asLong(headerWaitMillis));
      }
    } catch (IOException e) {
      // An endpoint that is asked directly answers without a problem document.
      return new Problem("HTTP_" + status, notRunHeader, headerWaitMillis);
    }
    return new Problem("HTTP_" + status, notRunHeader, headerWaitMillis);
  }
}
