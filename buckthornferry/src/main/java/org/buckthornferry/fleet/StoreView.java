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
 * The copy of all items in the store that an instance keeps. One copy of everything needs one
 * waiting call; its users hear only of changes under their own prefix.
 */
public final class StoreView {
  private static final Logger LOG = Logger.getLogger(StoreView.class);

  /** Matches every key. */
  static final String EVERYTHING = "";

  private final PrefixFollower follower;
  private final List<Section> sections = new ArrayList<>();
  private long publishedRevision;

  /** Uses the items under one prefix. */
  interface Section {
    /** Returns the prefix of the keys. */
    String prefix();

    /** Items under the prefix may have changed. */
    void onChanged();

    /** The store is reachable again after {@code lostMillis}. */
    default void onStoreBack(long lostMillis) {}
  }

  /** Creates a view that is empty until it is started. */
  public StoreView(
      SharedStore store,
      ChangeSource source,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.follower =
        new PrefixFollower(store, EVERYTHING, source, new Listener(), scheduler, clock, random);
  }

  /** Adds a user; to be done before {@link #start}. */
  void add(Section section) {
    sections.add(section);
  }

  /** Starts to follow the store. */
  public void start() {
    follower.start();
  }

  /** Stops to follow; the copy stays as it is. */
  public void stop() {
    follower.stop();
  }

  /** Returns the items whose keys start with {@code prefix}. */
  Collection<StoreItem> items(String prefix) {
    return follower.items(prefix);
  }

  /** Returns the revision up to which the copy is complete; 0 when nothing has been read. */
  long revision() {
    return follower.revision();
  }

  /** Returns whether the last call was answered. */
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
    for (Section section : sections) {
      boolean isUnchanged =
          changes.isPresent()
              && changes.get().stream().noneMatch(item -> item.key().startsWith(section.prefix()));
      if (!isUnchanged) {
        publish(section);
      }
    }
  }

  /** What one user makes of the items must keep neither the others nor this copy from going on. */
  private static void publish(Section section) {
    try {
      section.onChanged();
    } catch (RuntimeException e) {
      LOG.errorf(e, "store.change_failed prefix=%s", section.prefix());
    }
  }

  private final class Listener implements PrefixFollower.Listener {
    @Override
    public void onChanged(PrefixFollower changed) {
      publish();
    }

    @Override
    public void onReachable(long lostMillis) {
      LOG.infof("store.reachable lostMillis=%d", lostMillis);
      sections.forEach(section -> section.onStoreBack(lostMillis));
    }

    @Override
    public void onUnreachable(Kind reason) {
      LOG.warnf("store.unreachable reason=%s", reason);
    }
  }
}
