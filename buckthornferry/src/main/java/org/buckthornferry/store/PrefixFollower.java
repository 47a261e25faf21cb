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
 * Maintains a local copy of the items under one prefix: lists them, then watches for changes, and
 * lists them again when the store no longer has the changes in between. Not thread-safe: all calls
 * are made by one thread, and the store's futures must complete on it.
 */
public final class PrefixFollower {
  private static final Logger LOG = Logger.getLogger(PrefixFollower.class);

  /**
   * The delay before the first retry of a failed call, in milliseconds; doubles with every further
   * failure, with a jitter of half the delay.
   */
  private static final long INITIAL_RETRY_MILLIS = 200;

  /**
   * The largest retry delay before jitter, in milliseconds; the end of an outage is noticed within
   * a second.
   */
  private static final long MAX_RETRY_MILLIS = 600;

  /** The retry delay after a call that the store rejected by its rate limit, in milliseconds. */
  private static final long RATE_LIMITED_RETRY_MILLIS = 600;

  /**
   * The delay before the next watch, in milliseconds, when changes arrive less than twice this time
   * apart, so that one call returns several of them. Small compared with the time within which a
   * change must take effect.
   */
  private static final long BATCH_DELAY_MILLIS = 150;

  private final SharedStore store;
  private final String prefix;
  private final ChangeSource source;
  private final Listener listener;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final ChangeLog changeLog = new ChangeLog();
  private State state = State.NEW;
  private long revision;
  private long asOfNanos;
  private long unreachableSinceNanos;
  private long lastChangeNanos;
  private boolean reachable;
  private int consecutiveFailures;

  private enum State {
    NEW,
    LISTING,
    WATCHING,
    STOPPED
  }

  /** Receives notifications about the copy and about the reachability of the store. */
  public interface Listener {
    /** Called after the copy has changed. */
    void onChanged(PrefixFollower follower);

    /**
     * Called when the store answers for the first time or again after failures.
     *
     * @param outageMillis the time since the first failed call; 0 when no call has failed
     */
    void onReachable(long outageMillis);

    /** Called on the first failed call of an outage. */
    void onUnreachable(Kind reason);
  }

  /**
   * Creates a follower that watches the store itself and is not started.
   *
   * @param watchTimeoutMillis the timeout of a watch; bounds how long a dead connection stays
   *     unnoticed
   */
  public PrefixFollower(
      SharedStore store,
      String prefix,
      long watchTimeoutMillis,
      Listener listener,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this(
        store,
        prefix,
        new StoreChangeSource(store, prefix, () -> watchTimeoutMillis, clock),
        listener,
        scheduler,
        clock,
        random);
  }

  /**
   * Creates a follower that reads changes from {@code source} and is not started. Only listings are
   * read from the store itself.
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

  /** Starts the first listing. */
  public void start() {
    list("", new TreeMap<>(), 0);
  }

  /** Stops following; responses that arrive later are ignored. */
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
   * Returns the changes of the copy after an older revision, one item per key, or empty when the
   * change log no longer reaches back to it.
   */
  public Optional<List<StoreItem>> changesAfter(long olderRevision) {
    return changeLog
        .keysChangedAfter(olderRevision)
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

  /**
   * Replaces the copy by that of another instance when the other one has a higher revision, and
   * returns whether it did.
   */
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
          // Watching from the revision of the first page returns every change made during the
          // listing.
          long fromRevision = firstRevision == 0 ? page.revision() : firstRevision;
          if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key(), collected, fromRevision);
            return;
          }
          onSuccess();
          if (fromRevision >= revision) {
            // With several pages the copy is not current as of this request; the next watch will
            // set the time.
            asOfNanos = firstRevision == 0 ? sentNanos : asOfNanos;
            replace(collected, fromRevision);
          } else {
            LOG.infof(
                "store.listing_ignored prefix=%s listedRevision=%d revision=%d items=%d",
                prefix, fromRevision, revision, collected.size());
          }
          watch();
        });
  }

  private void replace(Map<String, StoreItem> copy, long newRevision) {
    final boolean unchanged = revision > 0 && sameRevisions(items, copy);
    if (revision == 0) {
      changeLog.reset(newRevision);
    } else {
      changeLog.addDifference(items, copy, newRevision);
    }
    items.clear();
    items.putAll(copy);
    revision = newRevision;
    if (!unchanged) {
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
          long pauseNanos = TimeUnit.MILLISECONDS.toNanos(BATCH_DELAY_MILLIS);
          boolean followsQuickly =
              lastChangeNanos != 0 && nowNanos - lastChangeNanos < 2 * pauseNanos;
          lastChangeNanos = nowNanos;
          if (followsQuickly) {
            scheduler.schedule(this::watch, BATCH_DELAY_MILLIS);
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
      changeLog.add(change.key(), change.revision());
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
    consecutiveFailures = 0;
    if (!reachable) {
      reachable = true;
      long outageMillis =
          unreachableSinceNanos == 0
              ? 0
              : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - unreachableSinceNanos);
      listener.onReachable(outageMillis);
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
    if (reachable || unreachableSinceNanos == 0) {
      reachable = false;
      unreachableSinceNanos = clock.nanoTime();
      listener.onUnreachable(reason);
    }
    consecutiveFailures++;
    long retryMillis =
        Math.min(MAX_RETRY_MILLIS, INITIAL_RETRY_MILLIS << Math.min(consecutiveFailures - 1, 8));
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
