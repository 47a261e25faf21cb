package org.buckthornferry.util;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Values by key that are forgotten after a time of their own, and of which the oldest give way when
 * there are too many. Used by one thread.
 */
public final class AgedTable<V> {
  private final int maxEntries;
  private final LinkedHashMap<String, Entry<V>> entries = new LinkedHashMap<>();

  private record Entry<V>(V value, long untilNanos) {}

  /** Creates an empty table. */
  public AgedTable(int maxEntries) {
    this.maxEntries = (int) Checks.positive(maxEntries, "maxEntries");
  }

  /** Returns the value of a key, or empty when there is none or its time is over. */
  public Optional<V> get(String key, long nowNanos) {
    Entry<V> entry = entries.get(key);
    return entry == null || entry.untilNanos - nowNanos <= 0
        ? Optional.empty()
        : Optional.of(entry.value);
  }

  /** Returns how long a key's value still holds, in nanoseconds; 0 when there is none. */
  public long remainingNanos(String key, long nowNanos) {
    Entry<V> entry = entries.get(key);
    return entry == null ? 0 : Math.max(0, entry.untilNanos - nowNanos);
  }

  /** Sets the value of a key, which counts as the newest then. */
  public void put(String key, V value, long untilNanos) {
    entries.remove(key);
    entries.put(key, new Entry<>(value, untilNanos));
    if (entries.size() > maxEntries) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /** Forgets a key. */
  public void remove(String key) {
    entries.remove(key);
  }

  /** Forgets what has ended and returns whether nothing is left. */
  public boolean isEmptyAt(long nowNanos) {
    for (Iterator<Map.Entry<String, Entry<V>>> i = entries.entrySet().iterator(); i.hasNext(); ) {
      if (i.next().getValue().untilNanos - nowNanos > 0) {
        return false;
      }
      i.remove();
    }
    return true;
  }

  /** Calls {@code visitor} with the keys and values that hold. */
  public void forEach(long nowNanos, BiConsumer<String, V> visitor) {
    for (Map.Entry<String, Entry<V>> entry : Map.copyOf(entries).entrySet()) {
      if (entry.getValue().untilNanos - nowNanos > 0) {
        visitor.accept(entry.getKey(), entry.getValue().value);
      }
    }
  }
}
