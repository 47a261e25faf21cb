package org.buckthornferry.fleet;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Repairs the entries of instances in a store that was restored from an older copy: writes the lost
 * ones again and removes those that had been removed. Any instance that knows an entry can do so;
 * rendezvous hashing by key sets the order in which they try, so that few of them call the store.
 */
final class RestoredEntries implements StoreView.Subscriber {
  private static final Logger LOG = Logger.getLogger(RestoredEntries.class);

  /** Time that an instance leaves to each one before it in the order, in milliseconds. */
  private static final long TURN_MILLIS = 100;

  /** Longest delay before an instance tries, in milliseconds; entries are kept for longer. */
  private static final long MAX_DELAY_MILLIS = 6_000;

  /** Delay before the next attempt, in milliseconds. */
  private static final long RETRY_MILLIS = 700;

  private final StoreView view;
  private final String prefix;
  private final RetentionLease lease;
  private final Blackboard blackboard;
  private final String selfId;
  private final Scheduler scheduler;
  private final Set<String> scheduledKeys = new HashSet<>();

  RestoredEntries(
      StoreView view,
      String prefix,
      RetentionLease lease,
      Blackboard blackboard,
      String selfId,
      Scheduler scheduler) {
    this.view = view;
    this.prefix = prefix;
    this.lease = lease;
    this.blackboard = blackboard;
    this.selfId = selfId;
    this.scheduler = scheduler;
  }

  @Override
  public String prefix() {
    return prefix;
  }

  @Override
  public void onChanged() {
    for (StoreItem item : view.items(prefix)) {
      if (!item.isStored()) {
        scheduleRepair(item.key(), turnMillis(item.key()));
      }
    }
    for (StoreItem item : view.resurrectedItems(prefix)) {
      scheduleRepair(item.key(), turnMillis(item.key()));
    }
  }

  private long turnMillis(String key) {
    int rank = Rendezvous.rank(key, selfId, blackboard.read(FleetView.ENTRY).listed().keySet());
    return Math.min(MAX_DELAY_MILLIS, 1 + TURN_MILLIS * rank);
  }

  private void scheduleRepair(String key, long delayMillis) {
    if (scheduledKeys.add(key)) {
      scheduler.schedule(
          () -> {
            scheduledKeys.remove(key);
            repair(key);
          },
          delayMillis);
    }
  }

  private void repair(String key) {
    Optional<StoreItem> lost = view.item(key).filter(item -> !item.isStored());
    if (lost.isPresent()) {
      StoreItem item = lost.get();
      complete(
          key,
          lease.write(
              leaseId ->
                  StoreTransaction.put(key, item.value(), leaseId).onlyIf(key, item.revision())));
      return;
    }
    for (StoreItem item : view.resurrectedItems(prefix)) {
      if (item.key().equals(key)) {
        complete(key, view.write(StoreTransaction.removal(key).onlyIf(key, item.revision())));
      }
    }
  }

  private void complete(String key, CompletableFuture<StorePosition> repaired) {
    Completions.onComplete(
        repaired,
        (position, failure) -> {
          LOG.infof(
              "store.entry_repaired key=%s position=%s failure=\"%s\"",
              key, position, failure == null ? "" : failure.getMessage());
          // Unless the copy shows by then that the key is repaired.
          scheduleRepair(key, RETRY_MILLIS);
        });
  }
}
