package org.buckthornferry.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.util.MonotonicClock;

/**
 * In-memory implementation of {@link KeyValueStore} for the store stand-in and for tests. Safe for
 * concurrent use; leases expire by the given clock.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
  /** The largest value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private final MonotonicClock clock;
  private final TreeMap<String, VersionedValue> values = new TreeMap<>();
  private final Map<Long, LeaseState> leases = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long lastVersion;
  private long lastLeaseId;

  private record LeaseState(long ttlNanos, long expiresNanos) {}

  private record Watch(
      String key,
      long afterVersion,
      long expiresNanos,
      CompletableFuture<Optional<VersionedValue>> result) {}

  /** Creates an empty store. */
  public InMemoryKeyValueStore(MonotonicClock clock) {
    this.clock = clock;
  }

  @Override
  public synchronized CompletableFuture<Optional<VersionedValue>> get(String key) {
    return CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
  }

  @Override
  public synchronized CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    List<VersionedValue> result = new ArrayList<>();
    for (VersionedValue value : values.tailMap(keyPrefix, true).values()) {
      if (!value.key().startsWith(keyPrefix)) {
        break;
      }
      result.add(value);
    }
    return CompletableFuture.completedFuture(result);
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    if (value.length > MAX_VALUE_BYTES) {
      return failed(Kind.TOO_LARGE, "value of " + key + " has " + value.length + " bytes");
    }
    VersionedValue stored;
    List<Watch> completed = new ArrayList<>();
    synchronized (this) {
      long currentVersion = versionOf(key);
      if (currentVersion != expectedVersion) {
        return failed(
            Kind.CONFLICT,
            key + " has version " + currentVersion + ", expected " + expectedVersion);
      }
      stored = new VersionedValue(key, ++lastVersion, value.clone(), attemptId);
      values.put(key, stored);
      watches.removeIf(
          watch ->
              watch.key.equals(key)
                  && watch.afterVersion < stored.version()
                  && completed.add(watch));
    }
    completed.forEach(watch -> watch.result.complete(Optional.of(stored)));
    return CompletableFuture.completedFuture(stored.version());
  }

  @Override
  public synchronized CompletableFuture<Void> delete(String key, long expectedVersion) {
    if (versionOf(key) != expectedVersion) {
      return failed(Kind.CONFLICT, key + " has version " + versionOf(key));
    }
    values.remove(key);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public synchronized CompletableFuture<Long> grantLease(long ttlMillis) {
    long ttlNanos = TimeUnit.MILLISECONDS.toNanos(ttlMillis);
    leases.put(++lastLeaseId, new LeaseState(ttlNanos, clock.nanoTime() + ttlNanos));
    return CompletableFuture.completedFuture(lastLeaseId);
  }

  @Override
  public synchronized CompletableFuture<Void> renewLease(long leaseId) {
    if (!leaseLive(leaseId)) {
      return failed(Kind.LEASE_EXPIRED, "lease " + leaseId + " does not exist");
    }
    leases.computeIfPresent(
        leaseId, (id, lease) -> new LeaseState(lease.ttlNanos, clock.nanoTime() + lease.ttlNanos));
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public synchronized CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return CompletableFuture.completedFuture(leaseLive(leaseId));
  }

  @Override
  public synchronized CompletableFuture<Void> revokeLease(long leaseId) {
    leases.remove(leaseId);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public synchronized CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long timeoutMillis) {
    VersionedValue current = values.get(key);
    if (current != null && current.version() > afterVersion) {
      return CompletableFuture.completedFuture(Optional.of(current));
    }
    CompletableFuture<Optional<VersionedValue>> result = new CompletableFuture<>();
    long expiresNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    watches.add(new Watch(key, afterVersion, expiresNanos, result));
    return result;
  }

  /** Completes watches that timed out and removes expired leases. */
  public void expire() {
    List<Watch> expired = new ArrayList<>();
    synchronized (this) {
      long nowNanos = clock.nanoTime();
      watches.removeIf(watch -> nowNanos - watch.expiresNanos >= 0 && expired.add(watch));
      leases.values().removeIf(lease -> nowNanos - lease.expiresNanos >= 0);
    }
    expired.forEach(watch -> watch.result.complete(Optional.empty()));
  }

  private long versionOf(String key) {
    VersionedValue current = values.get(key);
    return current == null ? 0 : current.version();
  }

  private boolean leaseLive(long leaseId) {
    LeaseState lease = leases.get(leaseId);
    return lease != null && clock.nanoTime() - lease.expiresNanos < 0;
  }

  private static <T> CompletableFuture<T> failed(Kind kind, String message) {
    return CompletableFuture.failedFuture(new StoreException(kind, message));
  }
}
