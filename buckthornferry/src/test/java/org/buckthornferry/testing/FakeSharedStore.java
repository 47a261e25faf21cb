package org.buckthornferry.testing;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePage;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Scheduler;

/** A shared store in memory whose history can be forgotten and whose calls can be made to fail. */
public final class FakeSharedStore implements SharedStore {
  private static final int PAGE_ITEMS = 3;

  private final TreeMap<String, StoreItem> items = new TreeMap<>();
  private final List<StoreItem> history = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private long era = 1;
  private long revision = 1;
  private long forgottenRevision;
  private long nextLease = 100;
  private final Map<Long, Long> leaseMillis = new HashMap<>();
  private final Map<Long, Scheduler.Task> leaseEnds = new HashMap<>();
  private final Map<String, Long> leaseOfKey = new HashMap<>();
  private final Scheduler scheduler;

  /** Creates a store whose leases and watches never end. */
  public FakeSharedStore() {
    this((task, delayMillis) -> Scheduler.Task.NONE);
  }

  /** Creates a store whose leases and watches end by the given time. */
  public FakeSharedStore(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  private Kind failure;
  private Kind writeFailure;
  private int calls;

  private record Watch(String prefix, long after, CompletableFuture<ChangeBatch> result) {}

  /** Lets all further calls fail, or succeed again with null. */
  public void failWith(Kind kind) {
    failure = kind;
  }

  /** Lets further changes fail, or succeed again with null; reads go on. */
  public void failWritesWith(Kind kind) {
    writeFailure = kind;
  }

  /** A copy of all items and leases at one moment. */
  public static final class Snapshot {
    private final Map<String, StoreItem> items;
    private final List<StoreItem> history;
    private final long revision;
    private final long nextLease;
    private final Map<Long, Long> leaseMillis;
    private final Map<String, Long> leaseOfKey;

    private Snapshot(FakeSharedStore store) {
      items = Map.copyOf(store.items);
      history = List.copyOf(store.history);
      revision = store.revision;
      nextLease = store.nextLease;
      leaseMillis = Map.copyOf(store.leaseMillis);
      leaseOfKey = Map.copyOf(store.leaseOfKey);
    }
  }

  /** Returns a copy of the current state. */
  public Snapshot snapshot() {
    return new Snapshot(this);
  }

  /**
   * Returns to an earlier state: later changes and leases are gone, and their revisions and lease
   * ids are given out again. Waiting watches fail.
   */
  public void restore(Snapshot snapshot) {
    items.clear();
    items.putAll(snapshot.items);
    history.clear();
    history.addAll(snapshot.history);
    revision = snapshot.revision;
    nextLease = snapshot.nextLease;
    era++;
    leaseEnds.values().forEach(Scheduler.Task::cancel);
    leaseEnds.clear();
    leaseMillis.clear();
    leaseMillis.putAll(snapshot.leaseMillis);
    leaseOfKey.clear();
    leaseOfKey.putAll(snapshot.leaseOfKey);
    snapshot.leaseMillis.keySet().forEach(this::keep);
    endWatches(Kind.OUTCOME_UNKNOWN);
  }

  /** Returns the number of calls so far. */
  public int calls() {
    return calls;
  }

  /** Returns the revision of the last change. */
  public long revision() {
    return revision;
  }

  /** Returns the position of the last change. */
  public StorePosition position() {
    return new StorePosition(era, revision);
  }

  /** Returns the value of a key; empty when there is none. */
  public String value(String key) {
    return items.containsKey(key) ? items.get(key).text() : "";
  }

  /** Writes a key as another client would. */
  public void put(String key, String value) {
    revision++;
    change(StoreItem.stored(key, value.getBytes(StandardCharsets.UTF_8), position()));
  }

  /** Removes a key as another client would. */
  public void remove(String key) {
    revision++;
    change(StoreItem.removal(key, position()));
  }

  /** Forgets all changes up to now and cuts the waiting watches. */
  public void forgetHistory() {
    history.clear();
    forgottenRevision = revision;
    endWatches(Kind.OUTCOME_UNKNOWN);
  }

  /** Breaks the connections of the waiting watches; the store itself goes on. */
  public void cutWatches() {
    List<Watch> ending = List.copyOf(watches);
    watches.clear();
    StoreException failure = StoreException.connectionBroken(new IOException("cut"));
    ending.forEach(watch -> watch.result.completeExceptionally(failure));
  }

  /** Ends the waiting watches: with an answer without changes, or with a failure. */
  public void endWatches(Kind kind) {
    List<Watch> ending = List.copyOf(watches);
    watches.clear();
    for (Watch watch : ending) {
      if (kind == null) {
        watch.result.complete(new ChangeBatch(List.of(), position()));
      } else {
        watch.result.completeExceptionally(new StoreException(kind, "cut"));
      }
    }
  }

  /** Returns an item as the store answers it now, whenever it was written. */
  private StoreItem answered(StoreItem item) {
    StorePosition position = new StorePosition(era, item.revision());
    return item.isRemoval()
        ? StoreItem.removal(item.key(), position)
        : StoreItem.stored(item.key(), item.value(), position);
  }

  private void change(StoreItem item) {
    if (item.isRemoval()) {
      items.remove(item.key());
    } else {
      items.put(item.key(), item);
    }
    history.add(item);
    List<Watch> due = new ArrayList<>(watches);
    for (Watch watch : due) {
      if (item.key().startsWith(watch.prefix) && watches.remove(watch)) {
        watch.result.complete(new ChangeBatch(List.of(item), item.since()));
      }
    }
  }

  private <T> CompletableFuture<T> failing() {
    calls++;
    return failure == null
        ? null
        : CompletableFuture.failedFuture(new StoreException(failure, "failing"));
  }

  @Override
  public CompletableFuture<StorePage> list(String prefix, String afterKey) {
    CompletableFuture<StorePage> failed = failing();
    if (failed != null) {
      return failed;
    }
    List<StoreItem> found = new ArrayList<>();
    for (StoreItem item : items.values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(afterKey) > 0) {
        found.add(answered(item));
      }
    }
    boolean hasMore = found.size() > PAGE_ITEMS;
    List<StoreItem> page = hasMore ? found.subList(0, PAGE_ITEMS) : found;
    return CompletableFuture.completedFuture(new StorePage(page, hasMore, position()));
  }

  @Override
  public CompletableFuture<ChangeBatch> watch(String prefix, long after, long waitMillis) {
    CompletableFuture<ChangeBatch> failed = failing();
    if (failed != null) {
      return failed;
    }
    if (after < forgottenRevision || after > revision) {
      return CompletableFuture.failedFuture(new StoreException(Kind.HISTORY_LOST, "forgotten"));
    }
    List<StoreItem> newer = new ArrayList<>();
    for (StoreItem item : history) {
      if (item.revision() > after && item.key().startsWith(prefix)) {
        newer.add(answered(item));
      }
    }
    if (!newer.isEmpty()) {
      return CompletableFuture.completedFuture(new ChangeBatch(newer, position()));
    }
    CompletableFuture<ChangeBatch> result = new CompletableFuture<>();
    Watch watch = new Watch(prefix, after, result);
    watches.add(watch);
    scheduler.schedule(
        () -> {
          if (watches.remove(watch)) {
            result.complete(new ChangeBatch(List.of(), position()));
          }
        },
        waitMillis);
    return result;
  }

  @Override
  public CompletableFuture<StorePosition> apply(StoreTransaction change) {
    CompletableFuture<StorePosition> failed = failing();
    if (failed != null) {
      return failed;
    }
    if (writeFailure != null) {
      return CompletableFuture.failedFuture(new StoreException(writeFailure, "failing"));
    }
    for (StoreTransaction.Condition condition : change.conditions()) {
      StoreItem item = items.get(condition.key());
      if ((item == null ? 0 : item.revision()) != condition.revision()) {
        return CompletableFuture.failedFuture(new StoreException(Kind.CONFLICT, condition.key()));
      }
    }
    for (StoreTransaction.Write write : change.writes()) {
      if (write.leaseId().isPresent() && !leaseMillis.containsKey(write.leaseId().getAsLong())) {
        return CompletableFuture.failedFuture(new StoreException(Kind.LEASE_EXPIRED, "no lease"));
      }
    }
    revision++;
    change.removals().forEach(key -> change(StoreItem.removal(key, position())));
    for (StoreTransaction.Write write : change.writes()) {
      leaseOfKey.remove(write.key());
      write.leaseId().ifPresent(id -> leaseOfKey.put(write.key(), id));
      change(StoreItem.stored(write.key(), write.value(), position()));
    }
    return CompletableFuture.completedFuture(position());
  }

  @Override
  public CompletableFuture<Lease> grantLease(long ttlMillis) {
    CompletableFuture<Lease> failed = failing();
    if (failed != null) {
      return failed;
    }
    long leaseId = nextLease++;
    leaseMillis.put(leaseId, ttlMillis);
    keep(leaseId);
    return CompletableFuture.completedFuture(new Lease(leaseId, era));
  }

  @Override
  public CompletableFuture<Void> renewLease(Lease lease) {
    CompletableFuture<Void> failed = failing();
    if (failed != null) {
      return failed;
    }
    // The store knows ids only; an id of an earlier era renews whatever lease has it now.
    boolean exists = leaseMillis.containsKey(lease.id());
    if (exists) {
      keep(lease.id());
    }
    if (!exists || lease.era() != era) {
      return CompletableFuture.failedFuture(new StoreException(Kind.LEASE_EXPIRED, "ended"));
    }
    return CompletableFuture.completedFuture(null);
  }

  private void keep(long leaseId) {
    Scheduler.Task before =
        leaseEnds.put(leaseId, scheduler.schedule(() -> end(leaseId), leaseMillis.get(leaseId)));
    if (before != null) {
      before.cancel();
    }
  }

  private void end(long leaseId) {
    leaseMillis.remove(leaseId);
    List<String> keys =
        leaseOfKey.entrySet().stream()
            .filter(entry -> entry.getValue() == leaseId)
            .map(Map.Entry::getKey)
            .toList();
    for (String key : keys) {
      leaseOfKey.remove(key);
      remove(key);
    }
  }
}
