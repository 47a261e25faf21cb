package org.buckthornferry.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;

/** A store client of one process that injects delays, outages, lost answers and late writes. */
final class FaultyStore implements KeyValueStore {
  private final KeyValueStore store;
  private final RandomGenerator random;
  private final Scheduler scheduler;
  boolean down;
  double lostAnswerShare;

  /** Runs an action of the process after a delay, unless the process has ended by then. */
  interface Scheduler {
    void after(long nanos, boolean atProcess, Runnable action);
  }

  FaultyStore(KeyValueStore store, RandomGenerator random, Scheduler scheduler) {
    this.store = store;
    this.random = random;
    this.scheduler = scheduler;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    long delayNanos = random.nextLong(Fleet.millis(30));
    if (down) {
      fail(answer, delayNanos, StoreException.Kind.UNAVAILABLE);
    } else if (random.nextDouble() < lostAnswerShare) {
      if (random.nextBoolean()) {
        long lateNanos = random.nextLong(Fleet.millis(1_500));
        scheduler.after(lateNanos, false, () -> callLate(action));
      }
      fail(answer, delayNanos, StoreException.Kind.OUTCOME_UNKNOWN);
    } else {
      scheduler.after(delayNanos / 2, false, () -> answerWith(answer, action, delayNanos));
    }
    return answer;
  }

  private static void callLate(Supplier<? extends CompletableFuture<?>> action) {
    var unused = action.get();
  }

  private <T> void answerWith(
      CompletableFuture<T> answer, Supplier<CompletableFuture<T>> action, long delayNanos) {
    CompletableFuture<T> result = action.get();
    scheduler.after(
        delayNanos / 2,
        true,
        () -> {
          var unused =
              result.whenComplete(
                  (value, failure) -> {
                    if (failure == null) {
                      answer.complete(value);
                    } else {
                      answer.completeExceptionally(failure);
                    }
                  });
        });
  }

  private void fail(CompletableFuture<?> answer, long delayNanos, StoreException.Kind kind) {
    scheduler.after(
        delayNanos, true, () -> answer.completeExceptionally(new StoreException(kind, "injected")));
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
