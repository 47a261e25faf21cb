package org.buckthornferry.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;

/**
 * Leases for store entries that outlive the instance that wrote them. A lease is never renewed and
 * is shared by the entries of the first half of its time to live.
 */
final class RetentionLease {
  private final SharedStore store;
  private final StoreView view;
  private final MonotonicClock clock;
  private final long ttlMillis;
  private Optional<Lease> lease = Optional.empty();
  private long grantedNanos;

  /**
   * Creates a source of leases.
   *
   * @param ttlMillis time to live of each lease; an entry lasts at least half as long
   */
  RetentionLease(SharedStore store, StoreView view, MonotonicClock clock, long ttlMillis) {
    this.store = store;
    this.view = view;
    this.clock = clock;
    this.ttlMillis = ttlMillis;
  }

  /**
   * Writes an entry under a lease. Fails with {@code LEASE_EXPIRED} if the lease has ended
   * meanwhile; the next call uses another one.
   *
   * @param transaction creates the write from the id of the lease
   */
  CompletableFuture<StorePosition> write(Function<OptionalLong, StoreTransaction> transaction) {
    return current()
        .thenCompose(
            current ->
                Completions.thenOnOutcome(
                    view.write(transaction.apply(OptionalLong.of(current.id()))),
                    (position, failure) -> checked(current, position, failure)));
  }

  private CompletableFuture<StorePosition> checked(
      Lease used, StorePosition position, Throwable failure) {
    if (failure == null && position.era() == used.era()) {
      return CompletableFuture.completedFuture(position);
    }
    Throwable cause =
        failure == null
            ? new StoreException(
                Kind.LEASE_EXPIRED, "granted before the store was restored: " + used)
            : failure;
    if (StoreException.kindOf(cause) == Kind.LEASE_EXPIRED) {
      lease = Optional.empty();
    }
    return CompletableFuture.failedFuture(cause);
  }

  private CompletableFuture<Lease> current() {
    long ageNanos = clock.nanoTime() - grantedNanos;
    boolean isUsable =
        lease.isPresent()
            && lease.get().era() >= view.position().era()
            && TimeUnit.NANOSECONDS.toMillis(ageNanos) < ttlMillis / 2;
    if (isUsable) {
      return CompletableFuture.completedFuture(lease.get());
    }
    return store
        .grantLease(ttlMillis)
        .thenApply(
            granted -> {
              lease = Optional.of(granted);
              grantedNanos = clock.nanoTime();
              return granted;
            });
  }
}
