package org.buckthornferry.membership;

import java.util.concurrent.CompletableFuture;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.util.MonotonicClock;

/**
 * The last outcome of a call to the key-value service by this instance. Used only on the control
 * thread, where the futures of the service complete.
 */
public final class StoreReachability {
  private final MonotonicClock clock;
  private boolean reachable;
  private long observedNanos;

  /** Creates a record that says "not reached" until the first call ends. */
  public StoreReachability(MonotonicClock clock) {
    this.clock = clock;
    this.observedNanos = clock.nanoTime();
  }

  /** Records the outcome of {@code call} when it ends and returns {@code call}. */
  public <T> CompletableFuture<T> observe(CompletableFuture<T> call) {
    return call.whenComplete((value, failure) -> record(failure == null || answered(failure)));
  }

  /** Records that a call ended now. */
  public void record(boolean reached) {
    reachable = reached;
    observedNanos = clock.nanoTime();
  }

  /** Returns whether the last call reached the service. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns when the last call ended, in nanoseconds of the clock. */
  public long observedNanos() {
    return observedNanos;
  }

  /** A refusal such as a conflict proves that the service is reachable. */
  private static boolean answered(Throwable failure) {
    return switch (StoreException.kindOf(failure)) {
      case CONFLICT, LEASE_EXPIRED, RATE_LIMITED, TOO_LARGE, HISTORY_LOST -> true;
      case UNAVAILABLE, OUTCOME_UNKNOWN -> false;
    };
  }
}
