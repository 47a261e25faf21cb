package org.buckthornferry.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;

/**
 * Injects faults into the store calls of one process: calls are delayed, responses are lost after
 * the change took effect, changes take effect after the call failed with an unknown outcome, and
 * during an outage calls fail.
 */
final class FaultyStore implements KeyValueStore {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final KeyValueStore store;
  private final VirtualTime time;
  private final RandomGenerator random;
  private final Faults faults;
  private final Consumer<Runnable> onProcess;

  /** The active faults, shared by all processes. */
  static final class Faults {
    double lostResponse;
    double lateEffect;
    boolean outage;
  }

  FaultyStore(
      KeyValueStore store,
      VirtualTime time,
      RandomGenerator random,
      Faults faults,
      Consumer<Runnable> onProcess) {
    this.store = store;
    this.time = time;
    this.random = random;
    this.faults = faults;
    this.onProcess = onProcess;
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

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    double draw = random.nextDouble();
    if (draw < faults.lateEffect) {
      time.after(
          random.nextLong(600) * NANOS_PER_MILLI,
          () -> {
            var unused = operation.get();
          });
      time.after(200 * NANOS_PER_MILLI, () -> fail(result, StoreException.Kind.OUTCOME_UNKNOWN));
      return result;
    }
    boolean lost = draw < faults.lateEffect + faults.lostResponse;
    time.after(
        (1 + random.nextLong(4)) * NANOS_PER_MILLI,
        () -> {
          if (faults.outage) {
            fail(
                result,
                random.nextBoolean()
                    ? StoreException.Kind.UNAVAILABLE
                    : StoreException.Kind.OUTCOME_UNKNOWN);
            return;
          }
          CompletableFuture<T> done = operation.get();
          time.after(
              random.nextLong(4) * NANOS_PER_MILLI,
              () -> {
                if (lost) {
                  fail(result, StoreException.Kind.OUTCOME_UNKNOWN);
                } else {
                  onProcess.accept(
                      () -> {
                        if (done.isCompletedExceptionally()) {
                          result.completeExceptionally(done.handle((v, e) -> e).join());
                        } else {
                          result.complete(done.join());
                        }
                      });
                }
              });
        });
    return result;
  }

  private void fail(CompletableFuture<?> result, StoreException.Kind kind) {
    onProcess.accept(() -> result.completeExceptionally(new StoreException(kind, "fault")));
  }
}
