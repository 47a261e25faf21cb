package org.buckthornferry.store;

import java.nio.charset.StandardCharsets;

/**
 * A value of the key-value service.
 *
 * @param version increases with every change of any key; never 0
 * @param attemptId identifies the write that stored the value
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by version; arrays are never modified.
public record VersionedValue(String key, long version, byte[] value, String attemptId) {
  /** Returns the value decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }
}
