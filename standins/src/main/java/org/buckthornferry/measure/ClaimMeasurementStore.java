package org.buckthornferry.measure;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.buckthornferry.store.InMemoryKeyValueStore;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;

/**
 * A store with a fixed latency and a bounded rate of writes, which counts its calls. Writes above
 * the rate are refused.
 */
final class ClaimMeasurementStore implements KeyValueStore {
  /** The latency of every call, in nanoseconds. */
  static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  private final ClaimMeasurementClock clock;
  private final InMemoryKeyValueStore store;
  private final boolean keepsValues;
  private final int maxWritesPerSecond;
  private double writeTokens;
  private long refilledNanos;
  private long version;
  long writes;
  long refusedWrites;
  long reads;
  long writtenBytes;
  long readBytes;

  /**
   * Creates an empty store.
   *
   * @param keepsValues whether values are kept; otherwise every write succeeds and is forgotten, so
   *     that the heap holds only the state of the writers
   */
  ClaimMeasurementStore(ClaimMeasurementClock clock, boolean keepsValues, int maxWritesPerSecond) {
    this.clock = clock;
    this.store = new InMemoryKeyValueStore(clock);
    this.keepsValues = keepsValues;
    this.maxWritesPerSecond = maxWritesPerSecond;
    this.writeTokens = maxWritesPerSecond / 10.0;
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(String key) {
    reads++;
    return later(() -> store.get(key));
  }

  @Override
  public CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    reads++;
    return later(
        () ->
            store
                .list(keyPrefix)
                .thenApply(
                    values -> {
                      values.forEach(value -> readBytes += value.value().length);
                      return values;
                    }));
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    if (!takeWrite()) {
      refusedWrites++;
      return later(
          () ->
              CompletableFuture.failedFuture(
                  new StoreException(StoreException.Kind.RATE_LIMITED, "too many writes")));
    }
    writes++;
    writtenBytes += value.length;
    return later(
        () ->
            keepsValues
                ? store.compareAndSwap(key, expectedVersion, value, attemptId)
                : CompletableFuture.completedFuture(++version));
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    writes++;
    return later(() -> store.delete(key, expectedVersion));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return later(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return later(() -> store.renewLease(leaseId));
  }

  @Override
  public CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return later(() -> store.isLeaseLive(leaseId));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return later(() -> store.revokeLease(leaseId));
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis) {
    return later(() -> store.watch(key, afterVersion, timeoutMillis));
  }

  private boolean takeWrite() {
    double elapsedSeconds = (clock.nanoTime() - refilledNanos) / 1e9;
    refilledNanos = clock.nanoTime();
    writeTokens =
        Math.min(maxWritesPerSecond / 10.0, writeTokens + elapsedSeconds * maxWritesPerSecond);
    if (writeTokens < 1) {
      return false;
    }
    writeTokens--;
    return true;
  }

  private <T> CompletableFuture<T> later(Supplier<CompletableFuture<T>> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    clock.after(
        LATENCY_NANOS / 2,
        () -> {
          CompletableFuture<T> done = operation.get();
          clock.after(
              LATENCY_NANOS / 2,
              () -> {
                var unused =
                    done.whenComplete(
                        (value, failure) -> {
                          if (failure == null) {
                            result.complete(value);
                          } else {
                            result.completeExceptionally(failure);
                          }
                        });
              });
        });
    return result;
  }
}
