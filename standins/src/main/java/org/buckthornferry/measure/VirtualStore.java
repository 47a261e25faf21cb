package org.buckthornferry.measure;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.VersionedValue;

/** The store of a {@link VirtualFleet}; calls take a millisecond and fail while it is down. */
final class VirtualStore implements KeyValueStore {
  private final VirtualFleet fleet;

  VirtualStore(VirtualFleet fleet) {
    this.fleet = fleet;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    fleet.after(
        VirtualFleet.NANOS_PER_MILLI,
        () -> {
          if (fleet.storeDown) {
            result.completeExceptionally(new StoreException(Kind.UNAVAILABLE, "down"));
            return;
          }
          var unused =
              operation
                  .get()
                  .whenComplete(
                      (value, failure) -> {
                        if (failure == null) {
                          result.complete(value);
                        } else {
                          result.completeExceptionally(failure);
                        }
                      });
        });
    return result;
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(String key) {
    return call(() -> fleet.store.get(key));
  }

  @Override
  public CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    return call(() -> fleet.store.list(keyPrefix));
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    return call(() -> fleet.store.compareAndSwap(key, expectedVersion, value, attemptId));
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    return call(() -> fleet.store.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return call(() -> fleet.store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call(() -> fleet.store.renewLease(leaseId));
  }

  @Override
  public CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return call(() -> fleet.store.isLeaseLive(leaseId));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return call(() -> fleet.store.revokeLease(leaseId));
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis) {
    return call(() -> fleet.store.watch(key, afterVersion, timeoutMillis));
  }
}
