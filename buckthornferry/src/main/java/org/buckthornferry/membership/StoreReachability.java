package org.buckthornferry.membership;

import java.util.concurrent.CompletableFuture;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.util.MonotonicClock;

/**
 * Tracks whether this instance's last call reached the key-value service. Used only on the control
 * thread, where the futures of the service complete.
 */
public final class StoreReachability {
  private final MonotonicClock clock;
  private boolean reachable;
  private long observedNanos;

  /** Creates a tracker that reports the service unreachable until the first call ends. */
  public StoreReachability(MonotonicClock clock) {
    this.clock = clock;
    this.observedNanos = clock.nanoTime();
  }

  /** Records the outcome of {@code call} when it ends and returns {@code call}. */
  public <T> CompletableFuture<T> observe(CompletableFuture<T> call) {
    return call.whenComplete(
        (value, failure) -> record(failure == null || provesReachable(failure)));
  }

  /** Records whether a call that ended now reached the service. */
  public void record(boolean reached) {
    reachable = reached;
    observedNanos = clock.nanoTime();
  }

  /** Returns whether the last call reached the service. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns when the last call ended, on the monotonic clock. */
  public long observedNanos() {
    return observedNanos;
  }

  /** Returns whether the failure is an error response, such as a conflict, from the service. */
  private static boolean provesReachable(Throwable failure) {
    return switch (StoreException.kindOf(failure)) {
      case CONFLICT, LEASE_EXPIRED, RATE_LIMITED, TOO_LARGE, HISTORY_LOST -> true;
      case UNAVAILABLE, OUTCOME_UNKNOWN -> false;
    };
  }
}
