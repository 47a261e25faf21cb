package org.buckthornferry.node;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Follows a server-sent event stream without changing it: checks that offsets are contiguous and
 * notices the final event. Memory is bounded by the longest line that matters.
 */
final class EventStreamInspector {
  private static final int MAX_LINE_BYTES = 256;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream(64);
  private String eventType = "";
  private long eventOffset = -1;
  private long nextOffset;
  private long tokens;
  private boolean done;
  private boolean contiguous = true;

  /** Creates an inspector of a stream whose first token has the given offset. */
  EventStreamInspector(long firstOffset) {
    nextOffset = firstOffset;
  }

  /** Reads the next part of the stream; parts may end anywhere. */
  void accept(byte[] part) {
    for (byte b : part) {
      if (b == '\n') {
        endLine();
      } else if (b != '\r' && line.size() < MAX_LINE_BYTES) {
        line.write(b);
      }
    }
  }

  /** Returns the number of tokens that were received. */
  long tokens() {
    return tokens;
  }

  /** Returns the offset that the next token must have. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns whether the final event was received and every offset was the expected one. */
  boolean isComplete() {
    return done && contiguous;
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
      contiguous &= eventOffset == nextOffset && !done;
      nextOffset++;
      tokens++;
    } else if (eventType.equals("done")) {
      done = true;
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
