package org.buckthornferry.store;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The recent writes of a store, over several eras. Tells an item that a restored store has brought
 * back from one that was written since.
 */
final class WriteHistory {
  /** Maximum number of writes; about 100 bytes each. */
  private static final int MAX_WRITES = 4_096;

  /** Number of eras, because a store may be restored again from a copy of an earlier era. */
  private static final int MAX_ERAS = 4;

  private final Deque<Write> writes = new ArrayDeque<>();
  private final Set<Write> known = new HashSet<>();
  private final Deque<Era> eras = new ArrayDeque<>();

  private record Write(String key, long revision, int valueHash) {
    static Write of(StoreItem item) {
      return new Write(item.key(), item.revision(), Arrays.hashCode(item.value()));
    }
  }

  /** The last writes of one era; those up to the start may be missing. */
  private static final class Era {
    private final Map<String, Long> lastRevisions = new HashMap<>();
    private long startRevision = Long.MAX_VALUE;

    private boolean wouldContain(StoreItem item) {
      Long last = lastRevisions.get(item.key());
      return item.revision() > (last == null ? startRevision : last);
    }
  }

  WriteHistory() {
    eras.addLast(new Era());
  }

  /** Records a write or a removal. */
  void add(StoreItem item) {
    eras.getLast().lastRevisions.put(item.key(), item.revision());
    Write write = Write.of(item);
    if (!known.add(write)) {
      return;
    }
    writes.addLast(write);
    if (writes.size() > MAX_WRITES) {
      Write oldest = writes.removeFirst();
      known.remove(oldest);
      for (Era era : eras) {
        if (era.lastRevisions.remove(oldest.key, oldest.revision)) {
          era.startRevision = Math.max(era.startRevision, oldest.revision);
        }
      }
    }
  }

  /** States that writes of the current era up to a revision may be missing. */
  void startAt(long revision) {
    eras.getLast().startRevision = revision;
  }

  /** Begins an era with the items that the store has. */
  void startEra(Collection<StoreItem> items, long revision) {
    eras.addLast(new Era());
    if (eras.size() > MAX_ERAS) {
      eras.removeFirst();
    }
    items.forEach(this::add);
    startAt(revision);
  }

  /** Returns whether an item is a known write. */
  boolean contains(StoreItem item) {
    return known.contains(Write.of(item));
  }

  /** Returns whether a key is known to have had the value of the first item before the other's. */
  boolean isOlderValue(StoreItem item, StoreItem other) {
    int valueHash = Arrays.hashCode(item.value());
    int otherHash = Arrays.hashCode(other.value());
    for (Write write : writes) {
      if (write.key.equals(item.key()) && write.valueHash == otherHash) {
        return false;
      }
      if (write.key.equals(item.key()) && write.valueHash == valueHash) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether an item would be known if it had been written in one of the known eras. */
  boolean wouldContain(StoreItem item) {
    return eras.stream().allMatch(era -> era.wouldContain(item));
  }
}
