package org.buckthornferry.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.buckthornferry.config.Json;
import org.buckthornferry.standin.PromptText;

/**
 * Checks a stream of an engine stand-in: offsets without gaps over all attempts, the text of every
 * token, and the identity and the count in the done event.
 */
final class StreamCheck implements ResponseCheck {
  private final String promptHash;
  private final long maxTokens;
  private final LongConsumer gapNanos;
  private final List<String> mismatches = new ArrayList<>();
  private ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String requestId = "";
  private String event = "";
  private String id = "";
  private String data = "";
  private boolean firstOfAttempt;
  private boolean done;
  private long nextOffset;
  private long attemptOffset;
  private long firstTokenNanos;
  private long lastTokenNanos;

  /**
   * Creates a check.
   *
   * @param gapNanos receives the time between two tokens of one attempt
   */
  StreamCheck(String promptHash, long maxTokens, LongConsumer gapNanos) {
    this.promptHash = promptHash;
    this.maxTokens = maxTokens;
    this.gapNanos = gapNanos;
  }

  @Override
  public void begin(String newRequestId) {
    requestId = newRequestId;
    line = new ByteArrayOutputStream();
    firstOfAttempt = true;
    done = false;
    lastTokenNanos = 0;
    clearEvent();
  }

  @Override
  public void onBody(byte[] part, long nowNanos) {
    for (byte b : part) {
      if (b == '\n') {
        onLine(line.toString(StandardCharsets.UTF_8), nowNanos);
        line.reset();
      } else {
        line.write(b);
      }
    }
  }

  @Override
  public boolean end() {
    if (!done) {
      mismatches.add("stream ended without a done event after " + nextOffset + " tokens");
    }
    return done && mismatches.isEmpty();
  }

  @Override
  public List<String> mismatches() {
    return mismatches;
  }

  @Override
  public long tokens() {
    return nextOffset;
  }

  @Override
  public long firstTokenNanos() {
    return firstTokenNanos;
  }

  private void onLine(String text, long nowNanos) {
    if (text.isEmpty()) {
      onEvent(nowNanos);
      clearEvent();
      return;
    }
    int colon = text.indexOf(':');
    if (colon <= 0) {
      return;
    }
    String value = text.substring(colon + 1);
    value = value.startsWith(" ") ? value.substring(1) : value;
    switch (text.substring(0, colon)) {
      case "event" -> event = value;
      case "id" -> id = value;
      case "data" -> data = value;
      default -> {}
    }
  }

  private void onEvent(long nowNanos) {
    switch (event) {
      case "token" -> onToken(nowNanos);
      case "done" -> onDone();
      default -> {}
    }
  }

  private void onToken(long nowNanos) {
    long offset = parseOffset();
    if (done || offset < 0) {
      mismatches.add("unexpected token event with id " + id);
      return;
    }
    if (firstOfAttempt) {
      beginAttemptAt(offset);
    }
    if (offset != attemptOffset) {
      mismatches.add("offset " + offset + " follows " + (attemptOffset - 1));
    }
    if (!data.equals(PromptText.token(promptHash, offset))) {
      mismatches.add("text at offset " + offset + " belongs to another request");
    }
    attemptOffset = offset + 1;
    nextOffset = Math.max(nextOffset, attemptOffset);
    onTokenTime(nowNanos);
  }

  /** A repeat continues the stream or starts it again. */
  private void beginAttemptAt(long offset) {
    firstOfAttempt = false;
    attemptOffset = offset == 0 ? 0 : nextOffset;
  }

  private void onTokenTime(long nowNanos) {
    if (firstTokenNanos == 0) {
      firstTokenNanos = nowNanos;
    }
    if (lastTokenNanos != 0) {
      gapNanos.accept(nowNanos - lastTokenNanos);
    }
    lastTokenNanos = nowNanos;
  }

  private void onDone() {
    done = true;
    try {
      JsonNode node = Json.MAPPER.readTree(data);
      if (!node.path("promptHash").asText().equals(promptHash)) {
        mismatches.add("done event belongs to another request");
      }
      if (!requestId.isEmpty() && !node.path("requestId").asText().equals(requestId)) {
        mismatches.add("Request-Id differs from the done event");
      }
      if (node.path("tokens").asLong() != maxTokens || nextOffset != maxTokens) {
        mismatches.add("got " + nextOffset + " tokens of " + maxTokens);
      }
    } catch (IOException e) {
      mismatches.add("done event is not JSON");
    }
  }

  private long parseOffset() {
    try {
      return Long.parseLong(id);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void clearEvent() {
    event = "";
    id = "";
    data = "";
  }
}
