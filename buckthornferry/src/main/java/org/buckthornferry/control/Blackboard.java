package org.buckthornferry.control;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.buckthornferry.util.Checks;

/**
 * Shared state of the controllers of an instance. Every entry has one writer and any number of
 * readers; values are immutable. Not thread-safe: used only on the control thread.
 */
public final class Blackboard {
  private final IdentityHashMap<BlackboardEntry<?>, Object> values = new IdentityHashMap<>();
  private final IdentityHashMap<BlackboardEntry<?>, Boolean> entriesWithWriter =
      new IdentityHashMap<>();

  /** Returns the current value of {@code entry}. */
  @SuppressWarnings("unchecked") // Only the typed writer of an entry stores its values.
  public <T> T read(BlackboardEntry<T> entry) {
    Object value = values.get(entry);
    return value == null ? entry.initialValue() : (T) value;
  }

  /**
   * Registers the only writer of {@code entry} and returns it.
   *
   * @throws IllegalStateException when the entry already has a writer
   */
  public <T> Consumer<T> writerOf(BlackboardEntry<T> entry) {
    if (entriesWithWriter.put(entry, Boolean.TRUE) != null) {
      throw new IllegalStateException("entry " + entry.name() + " already has a writer");
    }
    return value -> values.put(entry, Checks.notNull(value, entry.name()));
  }

  /** Returns all written values by entry name, for state dumps. */
  public Map<String, Object> snapshot() {
    Map<String, Object> snapshot = new TreeMap<>();
    values.forEach((entry, value) -> snapshot.put(entry.name(), value));
    return snapshot;
  }
}
