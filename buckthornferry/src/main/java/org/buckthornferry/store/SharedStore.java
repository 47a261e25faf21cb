package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the store that all instances share: ordered keys with revisions, watches of
 * prefixes, transactions over several keys, and leases. Futures fail with {@link StoreException}.
 */
public interface SharedStore {
  /**
   * Returns one page of the items whose keys start with {@code prefix}, ordered by key. The pages
   * of one listing do not form a consistent snapshot.
   *
   * @param afterKey the last key of the previous page; empty for the first page
   */
  CompletableFuture<StorePage> list(String prefix, String afterKey);

  /**
   * Returns the changes of keys that start with {@code prefix} after a revision as soon as there is
   * one, or an empty batch after {@code waitMillis}. Fails with {@code HISTORY_LOST} when the store
   * no longer has all of them.
   */
  CompletableFuture<ChangeBatch> watch(String prefix, long afterRevision, long waitMillis);

  /**
   * Applies a transaction and returns its position. Fails with {@code CONFLICT} when a condition
   * does not hold, with {@code LEASE_EXPIRED} when its lease has ended, and with {@code
   * OUTCOME_UNKNOWN} when the transaction may or may not take effect, possibly seconds later.
   */
  CompletableFuture<StorePosition> apply(StoreTransaction transaction);

  /** Grants a lease. */
  CompletableFuture<Lease> grantLease(long ttlMillis);

  /**
   * Renews a lease for its time to live. Fails with {@code LEASE_EXPIRED} when it has ended, also
   * when a new era has begun, in which its id may belong to another lease.
   */
  CompletableFuture<Void> renewLease(Lease lease);
}
