package org.buckthornferry.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Parses and compares the ids of server-sent events. */
final class EventId {
  private static final String FIELD = "id:";

  private EventId() {}

  /** Returns the value of the last {@code id} field of an event, or empty. */
  static Optional<String> of(byte[] event) {
    Optional<String> id = Optional.empty();
    for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n", -1)) {
      if (line.startsWith(FIELD)) {
        id = Optional.of(line.substring(FIELD.length()).strip());
      }
    }
    return id;
  }

  /** Returns whether an id is greater than the previous one; non-numeric ids always are. */
  static boolean isAfter(String id, String previousId) {
    try {
      return Long.parseLong(id) > Long.parseLong(previousId);
    } catch (NumberFormatException e) {
      // Non-numeric ids have no order and cannot reveal a duplicate event.
      return true;
    }
  }
}
