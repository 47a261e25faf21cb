package org.buckthornferry.shard;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** Acquires and renews the store lease of this instance, which covers all its shards. */
final class InstanceLease {
  private static final Logger LOG = Logger.getLogger(InstanceLease.class);

  /** The share of the time to live that is used; tolerates a local clock that is 1% slow. */
  private static final double USABLE_TTL_SHARE = 0.98;

  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CountingStore store;
  private final MonotonicClock clock;
  private final long ttlMillis;
  private final long usableNanos;
  private final long renewIntervalNanos;
  private long leaseId;
  private long validUntilNanos;
  private long nextCallNanos;
  private long lastSuccessNanos;
  private boolean everSucceeded;
  private boolean failing;
  private boolean inFlight;
  private boolean closed;

  InstanceLease(CountingStore store, MonotonicClock clock, long ttlMillis) {
    this.store = store;
    this.clock = clock;
    this.ttlMillis = ttlMillis;
    this.usableNanos = (long) (TimeUnit.MILLISECONDS.toNanos(ttlMillis) * USABLE_TTL_SHARE);
    this.renewIntervalNanos = TimeUnit.MILLISECONDS.toNanos(ttlMillis) / 3;
    this.nextCallNanos = clock.nanoTime();
  }

  /** Returns the lease id, or 0 when there is none. */
  long id() {
    return leaseId;
  }

  /** Returns whether the lease is guaranteed to be live in the store at {@code nowNanos}. */
  boolean isValid(long nowNanos) {
    return leaseId != 0 && !closed && nowNanos - validUntilNanos < 0;
  }

  /** Returns when the lease expires or expired, on the monotonic clock. */
  long validUntilNanos() {
    return validUntilNanos;
  }

  /** Returns whether the last call failed, which suggests that the store is down. */
  boolean isFailing() {
    return failing;
  }

  /**
   * Returns false when the last call failed and none succeeded within the given time. A process
   * that has made no call yet must not count as one that found the store down.
   */
  boolean reachedWithin(long nanos, long nowNanos) {
    return !failing || (everSucceeded && nowNanos - lastSuccessNanos <= nanos);
  }

  void onTick(long nowNanos) {
    if (closed || inFlight || nowNanos - nextCallNanos < 0) {
      return;
    }
    inFlight = true;
    nextCallNanos = nowNanos + renewIntervalNanos;
    if (leaseId == 0) {
      store.grantLease(ttlMillis, (id, failure) -> onGranted(id, failure, nowNanos));
    } else {
      long renewed = leaseId;
      store.renewLease(renewed, (done, failure) -> onRenewed(renewed, failure, nowNanos));
    }
  }

  /** Stops using the lease and revokes it in the store. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (leaseId != 0) {
      long revoked = leaseId;
      store.revokeLease(
          revoked,
          (done, failure) -> {
            if (failure != null) {
              LOG.infof(failure, "shard.lease.revoke.failed lease=%d", revoked);
            }
          });
    }
  }

  private void onGranted(Long id, Throwable failure, long sentNanos) {
    inFlight = false;
    if (failure != null) {
      onFailure();
      return;
    }
    leaseId = id;
    if (closed) {
      closed = false;
      close();
    }
    onSuccess(sentNanos);
  }

  private void onRenewed(long renewed, Throwable failure, long sentNanos) {
    inFlight = false;
    if (failure == null) {
      onSuccess(sentNanos);
      return;
    }
    if (StoreException.kindOf(failure) == StoreException.Kind.LEASE_EXPIRED) {
      LOG.infof("shard.lease.expired lease=%d", renewed);
      leaseId = 0;
      nextCallNanos = clock.nanoTime();
      everSucceeded = true;
      lastSuccessNanos = nextCallNanos;
      failing = false;
      return;
    }
    onFailure();
  }

  private void onSuccess(long sentNanos) {
    // Counted from the send time, the earliest time at which the store may have started the TTL.
    validUntilNanos = sentNanos + usableNanos;
    lastSuccessNanos = clock.nanoTime();
    everSucceeded = true;
    failing = false;
  }

  private void onFailure() {
    failing = true;
    nextCallNanos = clock.nanoTime() + RETRY_DELAY_NANOS;
  }
}
