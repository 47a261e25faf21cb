package org.buckthornferry.fleet;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.util.MonotonicClock;

/**
 * Leases for store entries that outlive the instance that wrote them. A lease is never renewed and
 * is shared by the entries of the first half of its time to live.
 */
final class RetentionLease {
  private final SharedStore store;
  private final MonotonicClock clock;
  private final long ttlMillis;
  private OptionalLong leaseId = OptionalLong.empty();
  private long grantedNanos;

  /**
   * Creates a source of leases.
   *
   * @param ttlMillis time to live of each lease; an entry lasts at least half as long
   */
  RetentionLease(SharedStore store, MonotonicClock clock, long ttlMillis) {
    this.store = store;
    this.clock = clock;
    this.ttlMillis = ttlMillis;
  }

  /** Returns a lease for a new entry. */
  CompletableFuture<Long> current() {
    long ageNanos = clock.nanoTime() - grantedNanos;
    if (leaseId.isPresent() && TimeUnit.NANOSECONDS.toMillis(ageNanos) < ttlMillis / 2) {
      return CompletableFuture.completedFuture(leaseId.getAsLong());
    }
    return store
        .grantLease(ttlMillis)
        .thenApply(
            granted -> {
              leaseId = OptionalLong.of(granted);
              grantedNanos = clock.nanoTime();
              return granted;
            });
  }

  /** Called when the store has ended the lease. */
  void onExpired() {
    leaseId = OptionalLong.empty();
  }
}
