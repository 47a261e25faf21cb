package org.buckthornferry.request;

import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.util.Checks;

/**
 * A position in an event stream whose event ids are consecutive offsets.
 *
 * @param nextOffset the offset of the next event to deliver to the caller
 */
public record StreamPosition(long nextOffset) {
  /** The position before the first event. */
  public static final StreamPosition START = new StreamPosition(0);

  /** Validates that the offset is not negative. */
  public StreamPosition {
    Checks.notNegative(nextOffset, "nextOffset");
  }

  /**
   * Returns the position after the event that {@code Last-Event-ID} identifies, or the start when
   * the header is absent or empty.
   *
   * @throws RequestException of kind {@code BAD_REQUEST} when the value is not an offset
   */
  public static StreamPosition afterLastEventId(String lastEventId) {
    if (lastEventId == null || lastEventId.isEmpty()) {
      return START;
    }
    try {
      long offset = Long.parseLong(lastEventId);
      if (offset >= 0 && offset < Long.MAX_VALUE) {
        return new StreamPosition(offset + 1);
      }
    } catch (NumberFormatException e) {
      // Rejected below, as numbers out of range are.
    }
    throw new RequestException(
        ErrorKind.BAD_REQUEST, "Last-Event-ID must be the offset of an event");
  }

  /** Returns the position after the next event. */
  public StreamPosition advance() {
    return new StreamPosition(nextOffset + 1);
  }
}
