package org.buckthornferry.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Bounded log of recently changed keys, from which a slightly older copy can be updated without a
 * new listing.
 */
final class ChangeLog {
  /** The largest number of logged changes; covers a restart of several hundred instances. */
  private static final int MAX_CHANGES = 2_048;

  private final Deque<Change> changes = new ArrayDeque<>();
  private long completeSinceRevision = Long.MAX_VALUE;

  private record Change(String key, long revision) {}

  /** Clears the log; it is complete for changes after {@code revision}. */
  void reset(long revision) {
    changes.clear();
    completeSinceRevision = revision;
  }

  void add(String key, long revision) {
    changes.addLast(new Change(key, revision));
    if (changes.size() > MAX_CHANGES) {
      completeSinceRevision = Math.max(completeSinceRevision, changes.removeFirst().revision);
    }
  }

  /**
   * Returns the keys that changed after a revision, or empty when the log no longer reaches back to
   * it.
   */
  Optional<Set<String>> keysChangedAfter(long revision) {
    if (revision < completeSinceRevision) {
      return Optional.empty();
    }
    Set<String> keys = new LinkedHashSet<>();
    for (Change change : changes) {
      if (change.revision > revision) {
        keys.add(change.key);
      }
    }
    return Optional.of(keys);
  }

  /** Adds the keys that differ between a copy and a newer listing. */
  void addDifference(Map<String, StoreItem> before, Map<String, StoreItem> after, long revision) {
    Map<String, StoreItem> removed = new TreeMap<>(before);
    for (StoreItem item : after.values()) {
      StoreItem known = removed.remove(item.key());
      if (known == null || known.revision() != item.revision()) {
        add(item.key(), item.revision());
      }
    }
    removed.keySet().forEach(key -> add(key, revision));
  }
}
