package org.buckthornferry.store;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
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

  /**
   * The timeout of a watch after a failed call, in milliseconds: the response tells at once that
   * the store is reachable, without waiting for a change.
   */
  private static final long PROBE_WAIT_MILLIS = 1;

  private final SharedStore store;
  private final String prefix;
  private final ChangeSource source;
  private final Listener listener;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final StoreCopy copy;
  private State state = State.NEW;
  private Scheduler.Task expiry = Scheduler.Task.NONE;
  private long asOfNanos;
  private OptionalLong unreachableSinceNanos = OptionalLong.empty();
  private long lastChangeNanos;
  private boolean reachable;
  private int consecutiveFailures;
  private boolean hasWatchedSinceListing = true;

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

    /** Called before {@link #onChanged} when the store was restored from an older copy. */
    default void onRestored() {}

    /**
     * Called when the store answers for the first time or again after failures.
     *
     * @param outageMillis for how long the store may have been unreachable: the time since the
     *     first call that failed was sent, or since its connection broke; 0 when no call has failed
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
        (newer, older) -> false,
        listener,
        scheduler,
        clock,
        random);
  }

  /**
   * Creates a follower that reads changes from {@code source} and is not started. Only listings are
   * read from the store itself.
   *
   * @param supersedes returns whether the value of the first item is known to be newer than that of
   *     the second, for values that tell
   */
  public PrefixFollower(
      SharedStore store,
      String prefix,
      ChangeSource source,
      BiPredicate<StoreItem, StoreItem> supersedes,
      Listener listener,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.store = store;
    this.prefix = prefix;
    this.source = source;
    this.copy = new StoreCopy(supersedes);
    this.listener = listener;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
  }

  /** Starts the first listing. */
  public void start() {
    list();
  }

  /** Stops following; responses that arrive later are ignored. */
  public void stop() {
    state = State.STOPPED;
    expiry.cancel();
  }

  /** Returns the prefix of the keys that are followed. */
  public String prefix() {
    return prefix;
  }

  /** Returns the items of the copy, ordered by key. */
  public Collection<StoreItem> items() {
    return copy.items();
  }

  /** Returns the items of the copy whose keys start with {@code keyPrefix}, ordered by key. */
  public Collection<StoreItem> items(String keyPrefix) {
    return copy.items(keyPrefix);
  }

  /** Returns the item of the copy with a key, or empty if there is none. */
  public Optional<StoreItem> item(String key) {
    return copy.item(key);
  }

  /** Returns the items in the store, also those that the copy ignores, ordered by key. */
  public Collection<StoreItem> storedItems() {
    return copy.storedItems();
  }

  /** Returns what the copy keeps from before the store was restored, removals included. */
  public List<StoreItem> keptItems() {
    return copy.keptItems();
  }

  /**
   * Returns the items under a prefix that a restored store has brought back although they had been
   * removed.
   */
  public List<StoreItem> resurrectedItems(String keyPrefix) {
    return copy.resurrected(keyPrefix);
  }

  /**
   * Returns the changes in the store after an older position, one item per key, or empty when the
   * copy no longer reaches back to it.
   */
  public Optional<List<StoreItem>> changesAfter(StorePosition older) {
    return copy.changesAfter(older);
  }

  /** Returns the time of the local clock at which the store held nothing newer than the copy. */
  public long asOfNanos() {
    return asOfNanos;
  }

  /** Returns the position up to which the copy is complete. */
  public StorePosition position() {
    return copy.position();
  }

  /** Returns whether the last call succeeded. */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Writes to the store and returns the position of the write. What is written is not forgotten if
   * the store is restored before the copy has reached that position.
   */
  public CompletableFuture<StorePosition> write(StoreTransaction transaction) {
    return store
        .apply(transaction)
        .thenApply(
            position -> {
              for (StoreTransaction.Write write : transaction.writes()) {
                copy.recordOwnWrite(StoreItem.stored(write.key(), write.value(), position));
              }
              for (String key : transaction.removals()) {
                copy.recordOwnWrite(StoreItem.removal(key, position));
              }
              return position;
            });
  }

  /**
   * Replaces the copy by that of another instance when the other one is at a later position, and
   * returns whether it did.
   */
  public boolean replaceIfNewer(StorePosition otherPosition, Collection<StoreItem> otherItems) {
    if (!otherPosition.isAfter(copy.position()) || state == State.STOPPED) {
      return false;
    }
    TreeMap<String, StoreItem> listing = new TreeMap<>();
    otherItems.forEach(item -> listing.put(item.key(), item));
    replace(listing, otherPosition);
    return true;
  }

  /**
   * Adopts what another instance of the same era keeps from before the store was restored. Has no
   * effect on what this instance has seen itself.
   */
  public void adoptKept(long era, Collection<StoreItem> keptItems) {
    boolean isUsable = era == copy.position().era() && state != State.STOPPED;
    if (isUsable && copy.adoptKept(keptItems, clock.nanoTime())) {
      scheduleExpiry();
      listener.onChanged(this);
    }
  }

  private void list(String afterKey, Map<String, StoreItem> collected, StorePosition first) {
    if (state == State.STOPPED) {
      return;
    }
    state = State.LISTING;
    hasWatchedSinceListing = false;
    long sentNanos = clock.nanoTime();
    Completions.onComplete(
        store.list(prefix, afterKey),
        (page, failure) -> {
          if (failure != null) {
            onFailure(failure, sentNanos);
            return;
          }
          boolean isFirst = first.equals(StorePosition.NONE);
          if (!isFirst && page.position().era() != first.era()) {
            list();
            return;
          }
          page.items().forEach(item -> collected.put(item.key(), item));
          // Watching from the position of the first page returns every change made during the
          // listing.
          StorePosition from = isFirst ? page.position() : first;
          if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key(), collected, from);
            return;
          }
          if (copy.position().isAfter(from)) {
            LOG.warnf(
                "store.listing_ignored prefix=%s listed=%s known=%s", prefix, from, position());
            onFailure(
                new StoreException(Kind.OUTCOME_UNKNOWN, "the listing is older than the copy"),
                sentNanos);
            return;
          }
          onSuccess();
          // With several pages the copy is not current as of this request; the next watch will set
          // the time.
          asOfNanos = isFirst ? sentNanos : asOfNanos;
          replace(collected, from);
          watch();
        });
  }

  private void list() {
    list("", new TreeMap<>(), StorePosition.NONE);
  }

  private void replace(Map<String, StoreItem> listing, StorePosition position) {
    StorePosition before = copy.position();
    boolean isChanged = copy.replace(listing, position, clock.nanoTime());
    boolean isRestored = before.era() != position.era() && !before.equals(StorePosition.NONE);
    if (isRestored) {
      LOG.warnf(
          "store.restored prefix=%s era=%d revision=%d previousEra=%d previousRevision=%d"
              + " items=%d kept=%d",
          prefix,
          position.era(),
          position.revision(),
          before.era(),
          before.revision(),
          listing.size(),
          copy.keptItems().size());
      listener.onRestored();
    }
    scheduleExpiry();
    if (isChanged) {
      listener.onChanged(this);
    }
  }

  private void scheduleExpiry() {
    expiry.cancel();
    expiry = Scheduler.Task.NONE;
    OptionalLong next = copy.nextExpiryNanos();
    if (next.isPresent()) {
      long delayNanos = next.getAsLong() - clock.nanoTime();
      expiry =
          scheduler.schedule(
              this::expireKept, Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayNanos) + 1));
    }
  }

  private void expireKept() {
    if (state == State.STOPPED) {
      return;
    }
    if (copy.expire(clock.nanoTime())) {
      LOG.infof("store.kept_expired prefix=%s kept=%d", prefix, copy.keptItems().size());
      listener.onChanged(this);
    }
    scheduleExpiry();
  }

  private void watch() {
    if (state == State.STOPPED) {
      return;
    }
    state = State.WATCHING;
    long sentNanos = clock.nanoTime();
    Completions.onComplete(
        source.changesAfter(copy.position(), reachable ? Long.MAX_VALUE : PROBE_WAIT_MILLIS),
        (observed, failure) -> {
          if (failure != null) {
            onFailure(failure, sentNanos);
            return;
          }
          hasWatchedSinceListing = true;
          onSuccess();
          ChangeBatch changes = observed.changes();
          if (state != State.STOPPED) {
            asOfNanos = observed.asOfNanos();
            if (copy.apply(changes, clock.nanoTime())) {
              scheduleExpiry();
              listener.onChanged(this);
            }
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

  private void onSuccess() {
    consecutiveFailures = 0;
    if (!reachable) {
      reachable = true;
      long outageMillis =
          unreachableSinceNanos.isEmpty()
              ? 0
              : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - unreachableSinceNanos.getAsLong());
      listener.onReachable(outageMillis);
    }
  }

  private void onFailure(Throwable failure, long sentNanos) {
    if (state == State.STOPPED) {
      return;
    }
    Kind reason = StoreException.kindOf(failure);
    if (reason == Kind.HISTORY_LOST && hasWatchedSinceListing) {
      LOG.infof("store.history_lost prefix=%s position=%s", prefix, position());
      list();
      return;
    }
    if (reachable || unreachableSinceNanos.isEmpty()) {
      reachable = false;
      // A connection that breaks has been open until then; other calls may have failed all along.
      unreachableSinceNanos =
          OptionalLong.of(
              StoreException.isBrokenConnection(failure) ? clock.nanoTime() : sentNanos);
      listener.onUnreachable(reason);
    }
    consecutiveFailures++;
    long retryMillis =
        Math.min(MAX_RETRY_MILLIS, INITIAL_RETRY_MILLIS << Math.min(consecutiveFailures - 1, 8));
    long baseMillis = reason == Kind.RATE_LIMITED ? RATE_LIMITED_RETRY_MILLIS : retryMillis;
    scheduler.schedule(
        () -> {
          // After a listing that cannot be followed, another one is needed.
          if (position().equals(StorePosition.NONE) || reason == Kind.HISTORY_LOST) {
            list();
          } else {
            watch();
          }
        },
        baseMillis / 2 + random.nextLong(baseMillis));
  }
}
