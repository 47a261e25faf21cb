package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.ChangeSource;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Local copy of all items in the store. One copy of the whole store needs only one watch;
 * subscribers are notified of changes under their own prefix only.
 */
public final class StoreView {
  private static final Logger LOG = Logger.getLogger(StoreView.class);

  /** Matches every key. */
  static final String ALL_KEYS = "";

  private final PrefixFollower follower;
  private final List<Subscriber> subscribers = new ArrayList<>();
  private boolean hasKeptItems;
  private StorePosition publishedPosition = StorePosition.NONE;

  /** Receives notifications of changes under one prefix. */
  public interface Subscriber {
    /** Returns the key prefix of interest. */
    String prefix();

    /** Called when items under the prefix may have changed. */
    void onChanged();

    /** Called when the store is reachable again after {@code outageMillis}, or 0 the first time. */
    default void onStoreRecovered(long outageMillis) {}

    /**
     * Called before {@link #onChanged} when the store was restored from an older copy of itself.
     */
    default void onStoreRestored() {}
  }

  /**
   * Creates a view that stays empty until it is started.
   *
   * @param supersedes returns whether the value of the first item is known to be newer than that of
   *     the second, for values that tell
   */
  public StoreView(
      SharedStore store,
      ChangeSource source,
      BiPredicate<StoreItem, StoreItem> supersedes,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.follower =
        new PrefixFollower(
            store, ALL_KEYS, source, supersedes, new Listener(), scheduler, clock, random);
  }

  /** Adds a subscriber. Must be called before {@link #start}. */
  public void subscribe(Subscriber subscriber) {
    subscribers.add(subscriber);
  }

  /** Starts following the store. */
  public void start() {
    follower.start();
  }

  /** Stops following the store; the copy keeps its last state. */
  public void stop() {
    follower.stop();
  }

  /**
   * Returns the items whose keys start with {@code prefix}. Items that a restored store has lost
   * are among them until they are written again or removed.
   */
  public Collection<StoreItem> items(String prefix) {
    return follower.items(prefix);
  }

  /** Returns an item, or empty if there is none. */
  public Optional<StoreItem> item(String key) {
    return follower.item(key);
  }

  /**
   * Returns the items under a prefix that a restored store has brought back although they had been
   * removed.
   */
  public List<StoreItem> resurrectedItems(String prefix) {
    return follower.resurrectedItems(prefix);
  }

  /** Returns the position up to which the copy is complete. */
  public StorePosition position() {
    return follower.position();
  }

  /** Writes to the store and returns the position of the write. */
  public CompletableFuture<StorePosition> write(StoreTransaction transaction) {
    return follower.write(transaction);
  }

  /** Returns whether the last call to the store or its reader succeeded. */
  public boolean isReachable() {
    return follower.isReachable();
  }

  PrefixFollower follower() {
    return follower;
  }

  private void publish() {
    Optional<List<StoreItem>> changes =
        publishedPosition.equals(StorePosition.NONE) || hasKeptItems
            ? Optional.empty()
            : follower.changesAfter(publishedPosition);
    publishedPosition = follower.position();
    // What is kept from before a restore changes without a change in the store.
    hasKeptItems = !follower.keptItems().isEmpty();
    for (Subscriber subscriber : subscribers) {
      boolean isUnchanged =
          changes.isPresent()
              && changes.get().stream()
                  .noneMatch(item -> item.key().startsWith(subscriber.prefix()));
      if (!isUnchanged) {
        publish(subscriber);
      }
    }
  }

  /**
   * Notifies one subscriber. Its exceptions must affect neither the other subscribers nor this
   * copy.
   */
  private static void publish(Subscriber subscriber) {
    try {
      subscriber.onChanged();
    } catch (RuntimeException e) {
      LOG.errorf(e, "store.change_failed prefix=%s", subscriber.prefix());
    }
  }

  private final class Listener implements PrefixFollower.Listener {
    @Override
    public void onChanged(PrefixFollower changed) {
      publish();
    }

    @Override
    public void onRestored() {
      subscribers.forEach(Subscriber::onStoreRestored);
    }

    @Override
    public void onReachable(long outageMillis) {
      LOG.infof("store.reachable lostMillis=%d", outageMillis);
      subscribers.forEach(subscriber -> subscriber.onStoreRecovered(outageMillis));
    }

    @Override
    public void onUnreachable(Kind reason) {
      LOG.warnf("store.unreachable reason=%s", reason);
    }
  }
}
