package org.buckthornferry.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * A copy of the store's items under one prefix, without the calls that fetch it.
 *
 * <p>A store that was restored from an older copy has lost its latest changes, until those who made
 * them write them again. The copy therefore keeps what it knew:
 *
 * <ul>
 *   <li>An item that the store has lost stays, for a limited time, because it may also have been
 *       removed since.
 *   <li>An item that the store has brought back is ignored until its key changes again. It is
 *       recognized by the revision and value with which it was written; if this copy does not reach
 *       back so far, the item is ignored for a limited time.
 * </ul>
 */
final class StoreCopy {
  /** How long an item that a restored store has lost stays in the copy, in milliseconds. */
  static final long LOST_RETENTION_MILLIS = 10_000;

  /**
   * How long the copy ignores an item that may be older than what it knows, in milliseconds. By
   * then whoever wrote something newer has written it again.
   */
  static final long UNKNOWN_RETENTION_MILLIS = 2_000;

  private static final long UNLIMITED_MILLIS = TimeUnit.DAYS.toMillis(365);

  private final TreeMap<String, StoreItem> stored = new TreeMap<>();
  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final Map<String, Kept> kept = new HashMap<>();
  private final Map<String, StoreItem> ownWrites = new HashMap<>();
  private final WriteHistory history = new WriteHistory();
  private final ChangeLog changeLog = new ChangeLog();
  private final BiPredicate<StoreItem, StoreItem> supersedes;
  private StorePosition position = StorePosition.NONE;
  private boolean isRestored;
  private long restoredNanos;

  /**
   * What was known of a key before the store was restored.
   *
   * @param item a removal if the key had no value
   * @param isLimited whether the item stays until {@code expiryNanos} only, or until its key
   *     changes
   */
  private record Kept(StoreItem item, boolean isLimited, long expiryNanos) {}

  /**
   * Creates an empty copy.
   *
   * @param supersedes returns whether the value of the first item is known to be newer than that of
   *     the second, for values that tell
   */
  StoreCopy(BiPredicate<StoreItem, StoreItem> supersedes) {
    this.supersedes = supersedes;
  }

  /** Returns the items in force, ordered by key. */
  Collection<StoreItem> items() {
    return items.values();
  }

  /** Returns the items in force whose keys start with {@code keyPrefix}, ordered by key. */
  Collection<StoreItem> items(String keyPrefix) {
    return items.subMap(keyPrefix, keyPrefix + Character.MAX_VALUE).values();
  }

  /** Returns the item in force with a key, or empty if there is none. */
  Optional<StoreItem> item(String key) {
    return Optional.ofNullable(items.get(key));
  }

  /** Returns the items in the store, ordered by key. */
  Collection<StoreItem> storedItems() {
    return stored.values();
  }

  /** Returns the items that a restored store has brought back although they had been removed. */
  List<StoreItem> resurrected(String keyPrefix) {
    List<StoreItem> found = new ArrayList<>();
    kept.forEach(
        (key, known) -> {
          if (known.item.isRemoval() && key.startsWith(keyPrefix) && stored.containsKey(key)) {
            found.add(stored.get(key));
          }
        });
    return found;
  }

  /** Returns what is kept from before the store was restored, removals included. */
  List<StoreItem> keptItems() {
    return kept.values().stream().map(Kept::item).toList();
  }

  /** Returns the position up to which the copy is complete. */
  StorePosition position() {
    return position;
  }

  /**
   * Returns the changes in the store after an older position, one item per key, or empty when the
   * copy no longer reaches back to it. There are none after a later position.
   */
  Optional<List<StoreItem>> changesAfter(StorePosition older) {
    if (older.compareTo(position) >= 0) {
      return Optional.of(List.of());
    }
    if (older.era() != position.era()) {
      return Optional.empty();
    }
    return changeLog
        .keysChangedAfter(older.revision())
        .map(
            keys -> {
              List<StoreItem> changes = new ArrayList<>(keys.size());
              for (String key : keys) {
                StoreItem item = stored.get(key);
                changes.add(item == null ? StoreItem.removal(key, position) : item);
              }
              return changes;
            });
  }

  /**
   * Records a write of this process that the store has confirmed. It is not lost if the store is
   * restored before the copy has reached it.
   */
  void recordOwnWrite(StoreItem item) {
    if (item.since().isAfter(position)) {
      ownWrites.put(item.key(), item);
    }
  }

  /**
   * Applies changes that follow the copy's position, and returns whether there were any. Changes of
   * another era are ignored.
   */
  boolean apply(ChangeBatch batch, long nowNanos) {
    if (batch.position().era() != position.era()) {
      return false;
    }
    boolean isChanged = false;
    for (StoreItem change : batch.changes()) {
      if (change.revision() > position.revision()) {
        changeLog.add(change.key(), change.revision());
        put(change, nowNanos);
        isChanged = true;
      }
    }
    if (batch.position().isAfter(position)) {
      position = batch.position();
    }
    dropReachedWrites();
    return isChanged;
  }

  private void put(StoreItem change, long nowNanos) {
    final boolean isReplay = isReplay(change);
    history.add(change);
    StoreItem known = items.get(change.key());
    final Kept last = kept.remove(change.key());
    if (change.isRemoval()) {
      stored.remove(change.key());
      items.remove(change.key());
      return;
    }
    boolean isWrittenAgain =
        known != null && known.hasSameValue(change) && (last != null || isRestoredLately(nowNanos));
    StoreItem item = isWrittenAgain ? change.unchangedSince(known.since()) : change;
    stored.put(item.key(), item);
    items.put(item.key(), item);
    if (isReplay) {
      keep(last.item, LOST_RETENTION_MILLIS, nowNanos);
    }
  }

  /**
   * Returns whether a writer repeats an old value on the way to the one that the store has lost.
   */
  private boolean isReplay(StoreItem change) {
    Kept last = kept.get(change.key());
    return last != null
        && !last.item.isRemoval()
        && !change.isRemoval()
        && !last.item.hasSameValue(change)
        && history.isOlderValue(change, last.item);
  }

  private boolean isRestoredLately(long nowNanos) {
    return isRestored
        && nowNanos - restoredNanos < TimeUnit.MILLISECONDS.toNanos(LOST_RETENTION_MILLIS);
  }

  /**
   * Replaces the copy by a listing at a position that is not older, and returns whether an item
   * changed or this is the first listing.
   */
  boolean replace(Map<String, StoreItem> listing, StorePosition newPosition, long nowNanos) {
    boolean isFirst = position.equals(StorePosition.NONE);
    boolean isNewEra = !isFirst && position.era() != newPosition.era();
    final Map<String, StoreItem> before = Map.copyOf(items);
    if (isNewEra) {
      restore(listing, newPosition, nowNanos);
    } else {
      update(listing, newPosition, nowNanos);
    }
    position = newPosition;
    dropReachedWrites();
    return isFirst || isNewEra || !isSame(before, items);
  }

  private static boolean isSame(Map<String, StoreItem> before, Map<String, StoreItem> after) {
    if (!before.keySet().equals(after.keySet())) {
      return false;
    }
    for (StoreItem item : after.values()) {
      StoreItem known = before.get(item.key());
      if (!known.since().equals(item.since()) || known.revision() != item.revision()) {
        return false;
      }
    }
    return true;
  }

  /** Applies a listing of the same era. */
  private void update(Map<String, StoreItem> listing, StorePosition newPosition, long nowNanos) {
    Map<String, StoreItem> before = Map.copyOf(stored);
    if (position.equals(StorePosition.NONE)) {
      changeLog.reset(newPosition.revision());
    } else {
      changeLog.addDifference(before, listing, newPosition.revision());
    }
    for (StoreItem item : listing.values()) {
      StoreItem known = before.get(item.key());
      if (known == null || known.revision() != item.revision()) {
        put(item, nowNanos);
      }
    }
    for (String key : before.keySet()) {
      if (!listing.containsKey(key)) {
        put(StoreItem.removal(key, newPosition), nowNanos);
      }
    }
    // Writes between the two positions may have been missed.
    history.startAt(newPosition.revision());
  }

  /**
   * Adopts what another instance keeps from before a restore, which this one may not have seen, and
   * returns whether it changed an item. Both copies must be of the same era.
   */
  boolean adoptKept(Collection<StoreItem> others, long nowNanos) {
    Map<String, StoreItem> before = Map.copyOf(items);
    for (StoreItem item : others) {
      Kept own = kept.get(item.key());
      boolean isNews = own == null ? !isRestored : item.since().isAfter(own.item.since());
      if (isNews && storedRevision(item.key()) == item.revision()) {
        keep(item, LOST_RETENTION_MILLIS, nowNanos);
      }
    }
    return !isSame(before, items);
  }

  private void keep(StoreItem item, long retentionMillis, long nowNanos) {
    StoreItem notStored = item.notStored(storedRevision(item.key()));
    long expiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    kept.put(item.key(), new Kept(notStored, retentionMillis < UNLIMITED_MILLIS, expiryNanos));
    if (notStored.isRemoval()) {
      items.remove(item.key());
    } else {
      items.put(item.key(), notStored);
    }
  }

  private long storedRevision(String key) {
    return stored.containsKey(key) ? stored.get(key).revision() : 0;
  }

  /** Applies a listing of a later era. */
  private void restore(Map<String, StoreItem> listing, StorePosition newPosition, long nowNanos) {
    final Map<String, StoreItem> storedBefore = Map.copyOf(stored);
    final Map<String, StoreItem> known = new HashMap<>(items);
    known.putAll(ownWrites);
    isRestored = true;
    restoredNanos = nowNanos;
    kept.clear();
    stored.clear();
    stored.putAll(listing);
    items.clear();
    items.putAll(listing);
    for (StoreItem listed : listing.values()) {
      StoreItem last = known.getOrDefault(listed.key(), StoreItem.removal(listed.key(), position));
      if (last.hasSameValue(listed)) {
        StoreItem same = listed.unchangedSince(last.since());
        stored.put(same.key(), same);
        items.put(same.key(), same);
        continue;
      }
      switch (age(listed, last, storedBefore.get(listed.key()))) {
        case NEW -> {}
        case OLD -> keep(last, UNLIMITED_MILLIS, nowNanos);
        case UNKNOWN -> keep(last, UNKNOWN_RETENTION_MILLIS, nowNanos);
        default -> throw new IllegalStateException("unknown age of " + listed.key());
      }
    }
    for (StoreItem last : known.values()) {
      if (!last.isRemoval() && !listing.containsKey(last.key())) {
        keep(last, LOST_RETENTION_MILLIS, nowNanos);
      }
    }
    changeLog.reset(newPosition.revision());
    history.startEra(stored.values(), newPosition.revision());
  }

  /** How the age of an item is judged that a restored store has and this copy does not. */
  private enum Age {
    /** Written since the store was restored. */
    NEW,
    /** A known write of an earlier era. */
    OLD,
    /** Written since, or in a part of an earlier era that is not known. */
    UNKNOWN
  }

  private Age age(StoreItem listed, StoreItem last, StoreItem storedBefore) {
    boolean isKnownWrite =
        history.contains(listed) || (storedBefore != null && isSameWrite(storedBefore, listed));
    if (isKnownWrite) {
      return Age.OLD;
    }
    boolean isNew =
        history.wouldContain(listed) || (!last.isRemoval() && supersedes.test(listed, last));
    return isNew ? Age.NEW : Age.UNKNOWN;
  }

  private static boolean isSameWrite(StoreItem one, StoreItem other) {
    return one.revision() == other.revision() && one.hasSameValue(other);
  }

  /** Returns the next time at which {@link #expire} drops something. */
  OptionalLong nextExpiryNanos() {
    return kept.values().stream()
        .filter(Kept::isLimited)
        .mapToLong(Kept::expiryNanos)
        .reduce((one, other) -> one - other < 0 ? one : other);
  }

  /** Drops what has been kept for its time, and returns whether an item changed. */
  boolean expire(long nowNanos) {
    List<String> expired = new ArrayList<>();
    kept.forEach(
        (key, known) -> {
          if (known.isLimited && known.expiryNanos - nowNanos <= 0) {
            expired.add(key);
          }
        });
    for (String key : expired) {
      kept.remove(key);
      if (stored.containsKey(key)) {
        items.put(key, stored.get(key));
      } else {
        items.remove(key);
      }
    }
    return !expired.isEmpty();
  }

  private void dropReachedWrites() {
    ownWrites.values().removeIf(item -> !item.since().isAfter(position));
  }
}
