package org.buckthornferry.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Asks the store whether the leases of other owners are live. One question covers all shards of a
 * lease, and an expired lease is never asked about again.
 */
final class LeaseWatch {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CountingStore store;
  private final Map<Long, State> states = new HashMap<>();

  private static final class State {
    private boolean ended;
    private boolean inFlight;
    private long nextNanos;
  }

  LeaseWatch(CountingStore store) {
    this.store = store;
  }

  /** Returns whether the lease has certainly ended; asks the store when that is not known. */
  boolean hasEnded(long leaseId, long nowNanos) {
    State state = states.get(leaseId);
    if (state == null) {
      state = new State();
      state.nextNanos = nowNanos;
      states.put(leaseId, state);
    }
    if (!state.ended && !state.inFlight && nowNanos - state.nextNanos >= 0) {
      ask(leaseId, state, nowNanos);
    }
    return state.ended;
  }

  void retain(Set<Long> leaseIds) {
    states.entrySet().removeIf(e -> !e.getValue().inFlight && !leaseIds.contains(e.getKey()));
  }

  private void ask(long leaseId, State state, long nowNanos) {
    state.inFlight = true;
    state.nextNanos = nowNanos + INTERVAL_NANOS;
    store.isLeaseLive(
        leaseId,
        (live, failure) -> {
          state.inFlight = false;
          state.ended |= failure == null && !live;
        });
  }
}
