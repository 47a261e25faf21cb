package org.buckthornferry.request;

import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.util.Checks;

/**
 * The position in a stream of events whose ids are consecutive offsets.
 *
 * @param nextOffset the offset of the next event to deliver to the caller
 */
public record StreamOffsets(long nextOffset) {
  /** The position before the first event. */
  public static final StreamOffsets START = new StreamOffsets(0);

  /** Checks that the offset is not negative. */
  public StreamOffsets {
    Checks.notNegative(nextOffset, "nextOffset");
  }

  /**
   * Returns the position after the event that a caller names in {@code Last-Event-ID}; the start
   * when the header is absent.
   *
   * @throws RequestException of kind {@code BAD_REQUEST} when the value is not an offset
   */
  public static StreamOffsets afterLastEventId(String lastEventId) {
    if (lastEventId == null || lastEventId.isEmpty()) {
      return START;
    }
    try {
      long offset = Long.parseLong(lastEventId);
      if (offset >= 0 && offset < Long.MAX_VALUE) {
        return new StreamOffsets(offset + 1);
      }
    } catch (NumberFormatException e) {
      // Reported below together with numbers out of range.
    }
    throw new RequestException(
        ErrorKind.BAD_REQUEST, "Last-Event-ID must be the offset of an event");
  }

  /** Returns the position after the next event. */
  public StreamOffsets advance() {
    return new StreamOffsets(nextOffset + 1);
  }
}
