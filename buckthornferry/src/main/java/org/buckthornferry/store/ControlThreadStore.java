package org.buckthornferry.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.buckthornferry.util.Checks;

/** Wraps a {@link KeyValueStore} so that its futures complete on the control thread. */
public final class ControlThreadStore implements KeyValueStore {
  private final KeyValueStore store;
  private final Executor controlThread;

  /** Wraps {@code store}. */
  public ControlThreadStore(KeyValueStore store, Executor controlThread) {
    this.store = Checks.notNull(store, "store");
    this.controlThread = Checks.notNull(controlThread, "controlThread");
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(String key) {
    return onControlThread(store.get(key));
  }

  @Override
  public CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    return onControlThread(store.list(keyPrefix));
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    return onControlThread(store.compareAndSwap(key, expectedVersion, value, attemptId));
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    return onControlThread(store.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return onControlThread(store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return onControlThread(store.renewLease(leaseId));
  }

  @Override
  public CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return onControlThread(store.isLeaseLive(leaseId));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return onControlThread(store.revokeLease(leaseId));
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis) {
    return onControlThread(store.watch(key, afterVersion, timeoutMillis));
  }

  private <T> CompletableFuture<T> onControlThread(CompletableFuture<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    call.whenComplete(
        (value, failure) ->
            controlThread.execute(
                () -> {
                  if (failure == null) {
                    result.complete(value);
                  } else {
                    result.completeExceptionally(failure);
                  }
                }));
    return result;
  }
}
