package org.buckthornferry.util;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * A bounded map whose entries expire at individual times. When it is full, it evicts the entry that
 * was put first. Used by one thread.
 */
public final class ExpiringTable<V> {
  private final int maxEntries;
  private final LinkedHashMap<String, Entry<V>> entries = new LinkedHashMap<>();

  private record Entry<V>(V value, long expiryNanos) {}

  /** Creates an empty table. */
  public ExpiringTable(int maxEntries) {
    this.maxEntries = (int) Checks.positive(maxEntries, "maxEntries");
  }

  /** Returns the value of a key, or empty when there is none or it has expired. */
  public Optional<V> get(String key, long nowNanos) {
    Entry<V> entry = entries.get(key);
    return entry == null || entry.expiryNanos - nowNanos <= 0
        ? Optional.empty()
        : Optional.of(entry.value);
  }

  /** Returns the time until a key's value expires, in nanoseconds; 0 when there is none. */
  public long remainingNanos(String key, long nowNanos) {
    Entry<V> entry = entries.get(key);
    return entry == null ? 0 : Math.max(0, entry.expiryNanos - nowNanos);
  }

  /** Sets the value and expiry of a key and makes it the newest entry. */
  public void put(String key, V value, long expiryNanos) {
    entries.remove(key);
    entries.put(key, new Entry<>(value, expiryNanos));
    if (entries.size() > maxEntries) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /** Removes a key. */
  public void remove(String key) {
    entries.remove(key);
  }

  /** Returns whether every entry has expired; removes expired entries up to the first live one. */
  public boolean isEmptyAt(long nowNanos) {
    for (Iterator<Map.Entry<String, Entry<V>>> i = entries.entrySet().iterator(); i.hasNext(); ) {
      if (i.next().getValue().expiryNanos - nowNanos > 0) {
        return false;
      }
      i.remove();
    }
    return true;
  }

  /** Calls {@code visitor} with each key and value that has not expired. */
  public void forEach(long nowNanos, BiConsumer<String, V> visitor) {
    for (Map.Entry<String, Entry<V>> entry : Map.copyOf(entries).entrySet()) {
      if (entry.getValue().expiryNanos - nowNanos > 0) {
        visitor.accept(entry.getKey(), entry.getValue().value);
      }
    }
  }
}
