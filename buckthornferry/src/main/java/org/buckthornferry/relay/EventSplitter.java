package org.buckthornferry.relay;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events into whole events, so that a caller never gets a part of one.
 * Memory is bounded by the largest event.
 */
final class EventSplitter {
  /** Far above any event of a token stream; a larger one is not an event stream. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private byte[] pending = new byte[512];
  private int length;
  private int scanned;

  /** Takes the next part and passes each event that it completes, with its closing blank line. */
  void accept(byte[] part, Consumer<byte[]> onEvent) {
    append(part);
    int start = 0;
    while (scanned < length) {
      int end = endOfEvent(scanned, start);
      scanned++;
      if (end < 0) {
        continue;
      }
      onEvent.accept(Arrays.copyOfRange(pending, start, end));
      start = end;
    }
    System.arraycopy(pending, start, pending, 0, length - start);
    length -= start;
    scanned -= start;
  }

  /** Returns whether a block holds nothing but comments and blank lines. */
  static boolean isComment(byte[] event) {
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

  /** Returns whether a part of an event is left that has not ended. */
  boolean hasPartialEvent() {
    return length > 0;
  }

  /** Returns the bytes of an event that has not ended. */
  int partialBytes() {
    return length;
  }

  private void append(byte[] part) {
    if (length + part.length > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + part.length));
    }
    System.arraycopy(part, 0, pending, length, part.length);
    length += part.length;
  }

  /** Returns the end of the event when the line feed at {@code index} closes a blank line. */
  private int endOfEvent(int index, int start) {
    if (pending[index] != '\n') {
      return -1;
    }
    int before = index - 1;
    if (before >= start && pending[before] == '\r') {
      before--;
    }
    boolean isBlank = before < start || pending[before] == '\n';
    return isBlank ? index + 1 : -1;
  }
}
