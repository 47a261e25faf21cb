package org.buckthornferry.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A key and its value, or the removal of a key.
 *
 * @param value the value; null when the key was removed
 * @param since when the key got this value; stays the same when a restored store loses the value
 *     and it is written again
 * @param revision the revision of the key in the store as it is now; 0 if the store has no such key
 * @param isStored whether the store has this value now; false for a value that was written before
 *     the store was restored and is not yet written again
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by position; arrays are never modified.
public record StoreItem(
    String key, byte[] value, StorePosition since, long revision, boolean isStored) {
  /** Returns an item as it was written to the store. */
  public static StoreItem stored(String key, byte[] value, StorePosition position) {
    return new StoreItem(key, value, position, position.revision(), true);
  }

  /** Returns the removal of a key. */
  public static StoreItem removal(String key, StorePosition position) {
    return new StoreItem(key, null, position, position.revision(), true);
  }

  /** Returns whether the key was removed. */
  public boolean isRemoval() {
    return value == null;
  }

  /** Returns whether a restored store has lost the key. */
  public boolean isLost() {
    return !isStored && revision == 0;
  }

  /** Returns the value decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }

  /** Returns whether another item has the same value, or is a removal like this one. */
  boolean hasSameValue(StoreItem other) {
    return Arrays.equals(value, other.value);
  }

  /** Returns this item with the time since which its key has the value. */
  StoreItem unchangedSince(StorePosition earlier) {
    return new StoreItem(key, value, earlier, revision, isStored);
  }

  /** Returns this item as one that the store does not have. */
  StoreItem notStored(long storedRevision) {
    return new StoreItem(key, value, since, storedRevision, false);
  }
}
