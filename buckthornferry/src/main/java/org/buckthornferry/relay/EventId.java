package org.buckthornferry.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads the id of a server-sent event. */
final class EventId {
  private static final String FIELD = "id:";

  private EventId() {}

  /** Returns the value of the last {@code id} line, or empty. */
  static Optional<String> of(byte[] event) {
    Optional<String> id = Optional.empty();
    for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n", -1)) {
      if (line.startsWith(FIELD)) {
        id = Optional.of(line.substring(FIELD.length()).strip());
      }
    }
    return id;
  }

  /** Returns whether an event comes after another one; ids that are no numbers always do. */
  static boolean isAfter(String id, String previousId) {
    try {
      return Long.parseLong(id) > Long.parseLong(previousId);
    } catch (NumberFormatException e) {
      // Ids without an order cannot show a repetition.
      return true;
    }
  }
}
