package org.buckthornferry.store;

import java.nio.charset.StandardCharsets;

/**
 * A key and its value, or the removal of a key.
 *
 * @param value the value; null when the key was removed
 * @param revision the revision of the last change of the key
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by revision; arrays are never modified.
public record StoreItem(String key, byte[] value, long revision) {
  /** Returns the removal of a key. */
  public static StoreItem removal(String key, long revision) {
    return new StoreItem(key, null, revision);
  }

  /** Returns whether the key was removed. */
  public boolean isRemoval() {
    return value == null;
  }

  /** Returns the value decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }
}
