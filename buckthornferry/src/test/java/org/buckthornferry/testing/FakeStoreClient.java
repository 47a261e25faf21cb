package org.buckthornferry.testing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.VersionedValue;

/** The fleet's store as one process reaches it: delayed, with outages and lost answers. */
public final class FakeStoreClient implements KeyValueStore {
  private final FakeFleet fleet;
  private final FakeInstance owner;

  /** Creates a client whose futures complete in {@code owner}, or anywhere when it is null. */
  public FakeStoreClient(FakeFleet fleet, FakeInstance owner) {
    this.fleet = fleet;
    this.owner = owner;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    fleet.storeCalls++;
    fleet.after(
        1,
        () -> {
          if (fleet.storeDown) {
            answer(result, null, new StoreException(Kind.UNAVAILABLE, "down"));
            return;
          }
          var unused =
              operation
                  .get()
                  .whenComplete(
                      (value, failure) -> {
                        boolean lost = fleet.random.nextInt(100) < fleet.lostAnswerPercent;
                        answer(
                            result,
                            value,
                            lost ? new StoreException(Kind.OUTCOME_UNKNOWN, "lost") : failure);
                      });
        });
    return result;
  }

  private <T> void answer(CompletableFuture<T> result, T value, Throwable failure) {
    Runnable completion =
        () -> {
          if (failure == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(failure);
          }
        };
    fleet.after(
        1,
        () -> {
          if (owner == null) {
            completion.run();
          } else {
            owner.run(completion);
          }
        });
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
    fleet.watchesWaiting++;
    CompletableFuture<Optional<VersionedValue>> result =
        call(() -> fleet.store.watch(key, afterVersion, timeoutMillis));
    var unused = result.whenComplete((value, failure) -> fleet.watchesWaiting--);
    return result;
  }
}
