package org.buckthornferry.measure.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;

/** Access of one instance to a store that answers after a delay and can be down. */
final class VirtualStore implements KeyValueStore {
  private final KeyValueStore store;
  private final BooleanSupplier down;
  private final Consumer<Runnable> delay;

  VirtualStore(KeyValueStore store, BooleanSupplier down, Consumer<Runnable> delay) {
    this.store = store;
    this.down = down;
    this.delay = delay;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    delay.accept(() -> answerNow(answer, action));
    return answer;
  }

  private <T> void answerNow(CompletableFuture<T> answer, Supplier<CompletableFuture<T>> action) {
    if (down.getAsBoolean()) {
      answer.completeExceptionally(
          new StoreException(StoreException.Kind.UNAVAILABLE, "the store is down"));
      return;
    }
    var unused =
        action
            .get()
            .whenComplete(
                (value, failure) -> {
                  if (failure == null) {
                    answer.complete(value);
                  } else {
                    answer.completeExceptionally(failure);
                  }
                });
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(String key) {
    return call(() -> store.get(key));
  }

  @Override
  public CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    return call(() -> store.list(keyPrefix));
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    return call(() -> store.compareAndSwap(key, expectedVersion, value, attemptId));
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    return call(() -> store.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return call(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call(() -> store.renewLease(leaseId));
  }

  @Override
  public CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return call(() -> store.isLeaseLive(leaseId));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return call(() -> store.revokeLease(leaseId));
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis) {
    return call(() -> store.watch(key, afterVersion, timeoutMillis));
  }
}
