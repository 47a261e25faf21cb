package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.ChangeSource;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
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
  private long publishedRevision;

  /** Receives notifications of changes under one prefix. */
  interface Subscriber {
    /** Returns the key prefix of interest. */
    String prefix();

    /** Called when items under the prefix may have changed. */
    void onChanged();

    /** Called when the store is reachable again after {@code outageMillis}, or 0 the first time. */
    default void onStoreRecovered(long outageMillis) {}
  }

  /** Creates a view that stays empty until it is started. */
  public StoreView(
      SharedStore store,
      ChangeSource source,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.follower =
        new PrefixFollower(store, ALL_KEYS, source, new Listener(), scheduler, clock, random);
  }

  /** Adds a subscriber. Must be called before {@link #start}. */
  void subscribe(Subscriber subscriber) {
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

  /** Returns the items whose keys start with {@code prefix}. */
  Collection<StoreItem> items(String prefix) {
    return follower.items(prefix);
  }

  /** Returns the revision up to which the copy is complete, or 0 before the first listing. */
  long revision() {
    return follower.revision();
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
        publishedRevision == 0 ? Optional.empty() : follower.changesAfter(publishedRevision);
    publishedRevision = follower.revision();
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
