package org.buckthornferry.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.config.Json;

/** Checks the answer of a plain-service stand-in. */
final class PlainCheck implements ResponseCheck {
  private final String contentHash;
  private final List<String> mismatches = new ArrayList<>();
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private String requestId = "";
  private boolean complete;

  PlainCheck(String contentHash) {
    this.contentHash = contentHash;
  }

  @Override
  public void begin(String newRequestId) {
    requestId = newRequestId;
    body = new ByteArrayOutputStream();
  }

  @Override
  public void onBody(byte[] part, long nowNanos) {
    body.writeBytes(part);
  }

  @Override
  public boolean end() {
    try {
      JsonNode answer = Json.MAPPER.readTree(body.toByteArray());
      complete = isOwn(answer);
    } catch (IOException e) {
      mismatches.add("answer is not whole JSON");
    }
    return complete;
  }

  @Override
  public List<String> mismatches() {
    return mismatches;
  }

  @Override
  public long tokens() {
    return complete ? 1 : 0;
  }

  @Override
  public long firstTokenNanos() {
    return 0;
  }

  private boolean isOwn(JsonNode answer) {
    if (!answer.path("result").asText().equals(contentHash)) {
      mismatches.add("answer belongs to another request");
      return false;
    }
    if (!requestId.isEmpty() && !answer.path("requestId").asText().equals(requestId)) {
      mismatches.add("Request-Id differs from the answer");
      return false;
    }
    return true;
  }
}
