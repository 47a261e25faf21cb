package org.buckthornferry.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Keeps a copy of the items under one prefix: lists them, then watches for changes, and lists them
 * again when the store has forgotten changes. Used by one thread; futures of the store must
 * complete on it.
 */
public final class PrefixFollower {
  private static final Logger LOG = Logger.getLogger(PrefixFollower.class);

  /** The first pause after a failed call, in milliseconds; doubles, and varies by a half. */
  private static final long RETRY_MILLIS = 200;

  /**
   * The longest pause after failed calls, in milliseconds; the store is found again within a
   * second.
   */
  private static final long MAX_RETRY_MILLIS = 600;

  /** The pause after a call that the store refused for its rate, in milliseconds. */
  private static final long RATE_LIMITED_RETRY_MILLIS = 600;

  /**
   * The pause before the next watch when changes come within twice this time of each other, in
   * milliseconds, so that they are read together; a small part of the time in which a change has to
   * be in force.
   */
  private static final long COLLECT_MILLIS = 150;

  private final SharedStore store;
  private final String prefix;
  private final ChangeSource source;
  private final Listener listener;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final ChangeLog log = new ChangeLog();
  private State state = State.NEW;
  private long revision;
  private long asOfNanos;
  private long lostNanos;
  private long changedNanos;
  private boolean reachable;
  private int failures;

  private enum State {
    NEW,
    LISTING,
    WATCHING,
    STOPPED
  }

  /** Hears of changes of the copy and of the store's reachability. */
  public interface Listener {
    /** The copy has changed. */
    void onChanged(PrefixFollower follower);

    /** The store has answered again after {@code lostMillis}, or for the first time after 0. */
    void onReachable(long lostMillis);

    /** A call to the store has failed; called once until it answers again. */
    void onUnreachable(Kind reason);
  }

  /**
   * Creates a follower that does nothing yet.
   *
   * @param watchMillis how long one watch waits; bounds how late a silent connection is noticed
   */
  public PrefixFollower(
      SharedStore store,
      String prefix,
      long watchMillis,
      Listener listener,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this(
        store,
        prefix,
        new StoreChangeSource(store, prefix, () -> watchMillis, clock),
        listener,
        scheduler,
        clock,
        random);
  }

  /**
   * Creates a follower that does nothing yet and hears of changes from {@code source}; only
   * listings are asked of the store itself.
   */
  public PrefixFollower(
      SharedStore store,
      String prefix,
      ChangeSource source,
      Listener listener,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.store = store;
    this.prefix = prefix;
    this.source = source;
    this.listener = listener;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
  }

  /** Starts to list. */
  public void start() {
    list("", new TreeMap<>(), 0);
  }

  /** Stops; answers that arrive later are dropped. */
  public void stop() {
    state = State.STOPPED;
  }

  /** Returns the prefix of the keys that are followed. */
  public String prefix() {
    return prefix;
  }

  /** Returns the items of the copy, ordered by key. */
  public Collection<StoreItem> items() {
    return items.values();
  }

  /** Returns the items of the copy whose keys start with {@code keyPrefix}, ordered by key. */
  public Collection<StoreItem> items(String keyPrefix) {
    return items.subMap(keyPrefix, keyPrefix + Character.MAX_VALUE).values();
  }

  /**
   * Returns what has changed in the copy after an older revision, each key once, or empty when that
   * is not known any more.
   */
  public Optional<List<StoreItem>> changesAfter(long olderRevision) {
    return log.keysAfter(olderRevision)
        .map(
            keys -> {
              List<StoreItem> changes = new ArrayList<>(keys.size());
              for (String key : keys) {
                StoreItem item = items.get(key);
                changes.add(item == null ? StoreItem.removal(key, revision) : item);
              }
              return changes;
            });
  }

  /** Returns the time of the local clock at which the store held nothing newer than the copy. */
  public long asOfNanos() {
    return asOfNanos;
  }

  /** Returns the revision up to which the copy is complete; 0 when nothing has been read. */
  public long revision() {
    return revision;
  }

  /** Returns whether the last call succeeded. */
  public boolean isReachable() {
    return reachable;
  }

  /** Takes over a copy that another instance holds when it is newer than this one. */
  public boolean replaceIfNewer(long otherRevision, List<StoreItem> otherItems) {
    if (otherRevision <= revision || state == State.STOPPED) {
      return false;
    }
    TreeMap<String, StoreItem> copy = new TreeMap<>();
    otherItems.forEach(item -> copy.put(item.key(), item));
    replace(copy, otherRevision);
    return true;
  }

  private void list(String afterKey, Map<String, StoreItem> collected, long firstRevision) {
    if (state == State.STOPPED) {
      return;
    }
    state = State.LISTING;
    long sentNanos = clock.nanoTime();
    Completions.onComplete(
        store.list(prefix, afterKey),
        (page, failure) -> {
          if (failure != null) {
            onFailure(StoreException.kindOf(failure));
            return;
          }
          page.items().forEach(item -> collected.put(item.key(), item));
          // Changes during the listing are replayed by a watch from its first page.
          long fromRevision = firstRevision == 0 ? page.revision() : firstRevision;
          if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key(), collected, fromRevision);
            return;
          }
          onSuccess();
          if (fromRevision >= revision) {
            // The first page of several is older; the watch that follows confirms the copy.
            asOfNanos = firstRevision == 0 ? sentNanos : asOfNanos;
            replace(collected, fromRevision);
          }
          watch();
        });
  }

  private void replace(Map<String, StoreItem> copy, long newRevision) {
    final boolean same = revision > 0 && sameRevisions(items, copy);
    if (revision == 0) {
      log.startAt(newRevision);
    } else {
      log.addDifference(items, copy, newRevision);
    }
    items.clear();
    items.putAll(copy);
    revision = newRevision;
    if (!same) {
      listener.onChanged(this);
    }
  }

  private static boolean sameRevisions(
      Map<String, StoreItem> before, Map<String, StoreItem> after) {
    if (!before.keySet().equals(after.keySet())) {
      return false;
    }
    for (StoreItem item : after.values()) {
      if (before.get(item.key()).revision() != item.revision()) {
        return false;
      }
    }
    return true;
  }

  private void watch() {
    if (state == State.STOPPED) {
      return;
    }
    state = State.WATCHING;
    Completions.onComplete(
        source.changesAfter(revision),
        (observed, failure) -> {
          if (failure != null) {
            onFailure(StoreException.kindOf(failure));
            return;
          }
          onSuccess();
          ChangeBatch changes = observed.changes();
          if (state != State.STOPPED) {
            asOfNanos = observed.asOfNanos();
            apply(changes);
          }
          if (changes.changes().isEmpty()) {
            watch();
            return;
          }
          long nowNanos = clock.nanoTime();
          long pauseNanos = TimeUnit.MILLISECONDS.toNanos(COLLECT_MILLIS);
          boolean isQuick = changedNanos != 0 && nowNanos - changedNanos < 2 * pauseNanos;
          changedNanos = nowNanos;
          if (isQuick) {
            scheduler.schedule(this::watch, COLLECT_MILLIS);
          } else {
            watch();
          }
        });
  }

  private void apply(ChangeBatch changes) {
    List<StoreItem> newer = new ArrayList<>();
    for (StoreItem change : changes.changes()) {
      if (change.revision() > revision) {
        newer.add(change);
      }
    }
    for (StoreItem change : newer) {
      log.add(change.key(), change.revision());
      if (change.isRemoval()) {
        items.remove(change.key());
      } else {
        items.put(change.key(), change);
      }
    }
    revision = Math.max(revision, changes.revision());
    if (!newer.isEmpty()) {
      listener.onChanged(this);
    }
  }

  private void onSuccess() {
    failures = 0;
    if (!reachable) {
      reachable = true;
      long lostMillis =
          lostNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - lostNanos);
      listener.onReachable(lostMillis);
    }
  }

  private void onFailure(Kind reason) {
    if (state == State.STOPPED) {
      return;
    }
    if (reason == Kind.HISTORY_LOST) {
      LOG.infof("store.history_lost prefix=%s revision=%d", prefix, revision);
      list("", new TreeMap<>(), 0);
      return;
    }
    if (reachable || lostNanos == 0) {
      reachable = false;
      lostNanos = clock.nanoTime();
      listener.onUnreachable(reason);
    }
    failures++;
    long retryMillis = Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS << Math.min(failures - 1, 8));
    long baseMillis = reason == Kind.RATE_LIMITED ? RATE_LIMITED_RETRY_MILLIS : retryMillis;
    scheduler.schedule(
        () -> {
          if (revision == 0) {
            list("", new TreeMap<>(), 0);
          } else {
            watch();
          }
        },
        baseMillis / 2 + random.nextLong(baseMillis));
  }
}
