package org.buckthornferry.shard;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Polls the store for whether the leases of other owners are live. One query covers all shards of a
 * lease, and an ended lease is not queried again.
 */
final class LeaseExpiryPoller {
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CountingStore store;
  private final Map<Long, LeaseState> states = new HashMap<>();

  private static final class LeaseState {
    private boolean ended;
    private boolean inFlight;
    private long nextPollNanos;
  }

  LeaseExpiryPoller(CountingStore store) {
    this.store = store;
  }

  /** Returns whether the lease is known to have ended; queries the store when it is not. */
  boolean hasEnded(long leaseId, long nowNanos) {
    LeaseState state = states.get(leaseId);
    if (state == null) {
      state = new LeaseState();
      state.nextPollNanos = nowNanos;
      states.put(leaseId, state);
    }
    if (!state.ended && !state.inFlight && nowNanos - state.nextPollNanos >= 0) {
      query(leaseId, state, nowNanos);
    }
    return state.ended;
  }

  void retain(Set<Long> leaseIds) {
    states.entrySet().removeIf(e -> !e.getValue().inFlight && !leaseIds.contains(e.getKey()));
  }

  private void query(long leaseId, LeaseState state, long nowNanos) {
    state.inFlight = true;
    state.nextPollNanos = nowNanos + POLL_INTERVAL_NANOS;
    store.isLeaseLive(
        leaseId,
        (live, failure) -> {
          state.inFlight = false;
          state.ended |= failure == null && !live;
        });
  }
}
