package org.buckthornferry.shard;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.VersionedValue;
import org.jboss.logging.Logger;

/**
 * Wraps the store calls of shard ownership and counts them by kind. Every handler receives a result
 * or a failure, also when the call throws.
 */
final class CountingStore {
  private static final Logger LOG = Logger.getLogger(CountingStore.class);

  /** The kinds of store call that shard ownership makes. */
  enum Call {
    LIST,
    GET,
    COMPARE_AND_SWAP,
    GRANT_LEASE,
    RENEW_LEASE,
    IS_LEASE_LIVE,
    REVOKE_LEASE
  }

  private final KeyValueStore store;
  private final EnumMap<Call, Long> counts = new EnumMap<>(Call.class);

  CountingStore(KeyValueStore store) {
    this.store = store;
  }

  Map<Call, Long> counts() {
    return Map.copyOf(counts);
  }

  void list(String prefix, BiConsumer<List<VersionedValue>, Throwable> handler) {
    call(Call.LIST, () -> store.list(prefix), handler);
  }

  void get(String key, BiConsumer<Optional<VersionedValue>, Throwable> handler) {
    call(Call.GET, () -> store.get(key), handler);
  }

  void compareAndSwap(
      String key,
      long expectedVersion,
      byte[] value,
      String attemptId,
      BiConsumer<Long, Throwable> handler) {
    call(
        Call.COMPARE_AND_SWAP,
        () -> store.compareAndSwap(key, expectedVersion, value, attemptId),
        handler);
  }

  void grantLease(long ttlMillis, BiConsumer<Long, Throwable> handler) {
    call(Call.GRANT_LEASE, () -> store.grantLease(ttlMillis), handler);
  }

  void renewLease(long leaseId, BiConsumer<Void, Throwable> handler) {
    call(Call.RENEW_LEASE, () -> store.renewLease(leaseId), handler);
  }

  void isLeaseLive(long leaseId, BiConsumer<Boolean, Throwable> handler) {
    call(Call.IS_LEASE_LIVE, () -> store.isLeaseLive(leaseId), handler);
  }

  void revokeLease(long leaseId, BiConsumer<Void, Throwable> handler) {
    call(Call.REVOKE_LEASE, () -> store.revokeLease(leaseId), handler);
  }

  private <T> void call(
      Call call, Supplier<CompletableFuture<T>> action, BiConsumer<T, Throwable> handler) {
    counts.merge(call, 1L, Long::sum);
    CompletableFuture<T> result;
    try {
      result = action.get();
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    var unused =
        result
            .handle(
                (value, failure) -> {
                  handler.accept(value, failure);
                  return null;
                })
            .exceptionally(
                failure -> {
                  LOG.errorf(failure, "shard.store.handler.failed call=%s", call);
                  return null;
                });
  }
}
