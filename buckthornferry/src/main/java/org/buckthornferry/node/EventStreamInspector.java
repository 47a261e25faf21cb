package org.buckthornferry.node;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Parses a server-sent event stream to check that its token offsets are contiguous and that its
 * final event was received. Lines are cut off at a fixed length, so memory use is bounded.
 */
final class EventStreamInspector {
  private static final int MAX_LINE_BYTES = 256;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
  private String eventType = "";
  private long eventOffset = -1;
  private long nextOffset;
  private long tokens;
  private boolean finalEventReceived;
  private boolean contiguous = true;

  /** Creates an inspector for a stream whose first token has the given offset. */
  EventStreamInspector(long firstOffset) {
    nextOffset = firstOffset;
  }

  /** Parses the next chunk of the stream. Chunk boundaries may be anywhere. */
  void accept(byte[] chunk) {
    for (byte b : chunk) {
      if (b == '\n') {
        endLine();
      } else if (b != '\r' && line.size() < MAX_LINE_BYTES) {
        line.write(b);
      }
    }
  }

  /** Returns the number of tokens received. */
  long tokens() {
    return tokens;
  }

  /** Returns the expected offset of the next token. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns whether the final event was received and every offset was the expected one. */
  boolean isComplete() {
    return finalEventReceived && contiguous;
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent();
    } else if (text.startsWith("event:")) {
      eventType = text.substring("event:".length()).strip();
    } else if (text.startsWith("id:")) {
      eventOffset = parseOffset(text.substring("id:".length()).strip());
    }
  }

  private void endEvent() {
    if (eventType.equals("token")) {
      contiguous &= eventOffset == nextOffset && !finalEventReceived;
      nextOffset++;
      tokens++;
    } else if (eventType.equals("done")) {
      finalEventReceived = true;
    }
    eventType = "";
    eventOffset = -1;
  }

  private static long parseOffset(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
