package org.buckthornferry.shard;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** The store lease of this instance; covers all its shards. */
final class InstanceLease {
  private static final Logger LOG = Logger.getLogger(InstanceLease.class);

  /** The share of the time to live that is used, so that a clock 1% slow stays on the safe side. */
  private static final double USED_SHARE = 0.98;

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final CountingStore store;
  private final MonotonicClock clock;
  private final long ttlMillis;
  private final long usableNanos;
  private final long renewNanos;
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
    this.usableNanos = (long) (TimeUnit.MILLISECONDS.toNanos(ttlMillis) * USED_SHARE);
    this.renewNanos = TimeUnit.MILLISECONDS.toNanos(ttlMillis) / 3;
    this.nextCallNanos = clock.nanoTime();
  }

  /** Returns the lease id, or 0 when there is none. */
  long id() {
    return leaseId;
  }

  /** Returns whether the store certainly holds the lease at {@code nowNanos}. */
  boolean isValid(long nowNanos) {
    return leaseId != 0 && !closed && nowNanos - validUntilNanos < 0;
  }

  /** Returns when the lease lapses or lapsed. */
  long validUntilNanos() {
    return validUntilNanos;
  }

  /** Returns whether the last call failed, so the store seems to be down. */
  boolean isFailing() {
    return failing;
  }

  /**
   * Returns false when the last call failed and none succeeded within the given time. A process
   * that has not called yet must not count as one that found the store down.
   */
  boolean reachedWithin(long nanos, long nowNanos) {
    return !failing || (everSucceeded && nowNanos - lastSuccessNanos <= nanos);
  }

  void onTick(long nowNanos) {
    if (closed || inFlight || nowNanos - nextCallNanos < 0) {
      return;
    }
    inFlight = true;
    nextCallNanos = nowNanos + renewNanos;
    if (leaseId == 0) {
      store.grantLease(ttlMillis, (id, failure) -> granted(id, failure, nowNanos));
    } else {
      long renewed = leaseId;
      store.renewLease(renewed, (done, failure) -> renewed(renewed, failure, nowNanos));
    }
  }

  /** Stops using the lease and ends it in the store. */
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

  private void granted(Long id, Throwable failure, long sentNanos) {
    inFlight = false;
    if (failure != null) {
      failed();
      return;
    }
    leaseId = id;
    if (closed) {
      closed = false;
      close();
    }
    succeeded(sentNanos);
  }

  private void renewed(long renewed, Throwable failure, long sentNanos) {
    inFlight = false;
    if (failure == null) {
      succeeded(sentNanos);
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
    failed();
  }

  private void succeeded(long sentNanos) {
    // Counted from the send: the store may have started the time to live as early as that.
    validUntilNanos = sentNanos + usableNanos;
    lastSuccessNanos = clock.nanoTime();
    everSucceeded = true;
    failing = false;
  }

  private void failed() {
    failing = true;
    nextCallNanos = clock.nanoTime() + RETRY_NANOS;
  }
}
