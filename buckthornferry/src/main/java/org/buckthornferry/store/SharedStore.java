package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;

/**
 * A store that all instances share: ordered keys with revisions, watches over prefixes, conditional
 * changes of several keys, and leases. Futures fail with {@link StoreException}.
 */
public interface SharedStore {
  /**
   * Returns one page of the items whose keys start with {@code prefix}, ordered by key. Pages of
   * one listing are not a snapshot.
   *
   * @param afterKey the last key of the page before; empty for the first page
   */
  CompletableFuture<StorePage> list(String prefix, String afterKey);

  /**
   * Returns the changes of keys that start with {@code prefix} after a revision, as soon as there
   * is one, or none after {@code waitMillis}. Fails with {@code HISTORY_LOST}.
   */
  CompletableFuture<ChangeBatch> watch(String prefix, long afterRevision, long waitMillis);

  /**
   * Applies a change and returns its revision. Fails with {@code CONFLICT} when a condition does
   * not hold, with {@code LEASE_EXPIRED} when its lease has ended, and with {@code OUTCOME_UNKNOWN}
   * when the change may or may not take effect, possibly seconds later.
   */
  CompletableFuture<Long> apply(StoreTransaction change);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(long ttlMillis);

  /** Extends a lease by its time to live. Fails with {@code LEASE_EXPIRED}. */
  CompletableFuture<Void> renewLease(long leaseId);

  /** Ends a lease and removes its keys. */
  CompletableFuture<Void> revokeLease(long leaseId);
}
