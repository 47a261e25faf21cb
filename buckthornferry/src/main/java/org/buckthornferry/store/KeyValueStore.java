package org.buckthornferry.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the platform's key-value service. Futures fail with {@link StoreException}.
 * The service allows several hundred writes and about 2,000 reads per second for the whole fleet; a
 * pending watch counts as one call.
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

  /** Renews a lease for its time to live. Fails with {@code LEASE_EXPIRED} when it has ended. */
  CompletableFuture<Void> renewLease(long leaseId);

  /** Returns whether the lease exists and has not expired. */
  CompletableFuture<Boolean> isLeaseLive(long leaseId);

  /** Revokes a lease; succeeds for an unknown lease. */
  CompletableFuture<Void> revokeLease(long leaseId);

  /**
   * Returns the value of {@code key} as soon as its version exceeds {@code afterVersion}, or empty
   * after {@code timeoutMillis}.
   */
  CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis);
}
