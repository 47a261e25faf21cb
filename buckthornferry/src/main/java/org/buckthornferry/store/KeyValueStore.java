package org.buckthornferry.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Futures fail with {@link StoreException}. The service allows
 * several hundred writes and about 2,000 reads a second for the whole fleet; a waiting watch counts
 * as one call.
 */
public interface KeyValueStore {
  /** Returns the value of {@code key}, or empty when it has none. */
  CompletableFuture<Optional<VersionedValue>> get(String key);

  /** Returns all values whose key starts with {@code keyPrefix}, ordered by key. */
  CompletableFuture<List<VersionedValue>> list(String keyPrefix);

  /**
   * Stores {@code value} when {@code key} has {@code expectedVersion} and returns the new version.
   * Fails with {@code CONFLICT} when the version differs. After {@code OUTCOME_UNKNOWN} the writer
   * reads the key back and compares the attempt id.
   *
   * @param expectedVersion the version that is replaced; 0 means that the key must be absent
   */
  CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId);

  /** Deletes {@code key} when it has {@code expectedVersion}. */
  CompletableFuture<Void> delete(String key, long expectedVersion);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(long ttlMillis);

  /** Extends a lease by its time to live. Fails with {@code LEASE_EXPIRED}. */
  CompletableFuture<Void> renewLease(long leaseId);

  /** Returns whether the lease exists and has not expired. */
  CompletableFuture<Boolean> isLeaseLive(long leaseId);

  /** Ends a lease; ending an unknown lease succeeds. */
  CompletableFuture<Void> revokeLease(long leaseId);

  /**
   * Returns the value of {@code key} as soon as its version is above {@code afterVersion}, or empty
   * when {@code timeoutMillis} have passed.
   */
  CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis);
}
