package org.buckthornferry.relay;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a {@code text/event-stream} body into complete events, so that callers never receive a
 * partial event. Memory use is bounded by the largest event.
 */
final class EventSplitter {
  /** Far above any event of a token stream; data with a larger event is not an event stream. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private byte[] buffer = new byte[512];
  private int bufferedBytes;
  private int scannedBytes;

  /** Appends a chunk and passes on each event that it completes, including the blank line. */
  void accept(byte[] chunk, Consumer<byte[]> onEvent) {
    append(chunk);
    int start = 0;
    while (scannedBytes < bufferedBytes) {
      int end = endOfEvent(scannedBytes, start);
      scannedBytes++;
      if (end < 0) {
        continue;
      }
      onEvent.accept(Arrays.copyOfRange(buffer, start, end));
      start = end;
    }
    System.arraycopy(buffer, start, buffer, 0, bufferedBytes - start);
    bufferedBytes -= start;
    scannedBytes -= start;
  }

  /** Returns whether a block consists of comments and blank lines only. */
  static boolean isCommentOnly(byte[] event) {
    boolean isLineStart = true;
    for (byte character : event) {
      boolean isLineEnd = character == '\n' || character == '\r';
      if (isLineStart && !isLineEnd && character != ':') {
        return false;
      }
      isLineStart = isLineEnd;
    }
    return true;
  }

  /** Returns whether the buffer holds an incomplete event. */
  boolean hasPartialEvent() {
    return bufferedBytes > 0;
  }

  /** Returns the size of the incomplete event in the buffer, in bytes. */
  int partialEventBytes() {
    return bufferedBytes;
  }

  private void append(byte[] chunk) {
    if (bufferedBytes + chunk.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + chunk.length));
    }
    System.arraycopy(chunk, 0, buffer, bufferedBytes, chunk.length);
    bufferedBytes += chunk.length;
  }

  /** Returns the end of the event if a blank line ends at {@code index}, else -1. */
  private int endOfEvent(int index, int start) {
    if (buffer[index] != '\n') {
      return -1;
    }
    int before = index - 1;
    if (before >= start && buffer[before] == '\r') {
      before--;
    }
    boolean isBlank = before < start || buffer[before] == '\n';
    return isBlank ? index + 1 : -1;
  }
}
