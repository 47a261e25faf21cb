package org.buckthornferry.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The keys that have changed lately, so that a copy which is a little older can be brought up. */
final class ChangeLog {
  /** The most changes that are remembered; a restart of several hundred instances. */
  private static final int MAX_CHANGES = 2_048;

  private final Deque<Change> changes = new ArrayDeque<>();
  private long completeSince = Long.MAX_VALUE;

  private record Change(String key, long revision) {}

  /** Forgets everything; changes after {@code revision} are going to be added. */
  void startAt(long revision) {
    changes.clear();
    completeSince = revision;
  }

  void add(String key, long revision) {
    changes.addLast(new Change(key, revision));
    if (changes.size() > MAX_CHANGES) {
      completeSince = Math.max(completeSince, changes.removeFirst().revision);
    }
  }

  /** Returns the keys that have changed after a revision, or empty when some may be missing. */
  Optional<Set<String>> keysAfter(long revision) {
    if (revision < completeSince) {
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

  /** Adds what a newly listed copy changes. */
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
