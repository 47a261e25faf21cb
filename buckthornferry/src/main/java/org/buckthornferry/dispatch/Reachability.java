package org.buckthornferry.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether an instance is cut off from the endpoints of a service. Several endpoints in a row
 * that cannot be reached, with none in between that answers, mean that the fault is at this side.
 */
final class Reachability {
  /** So many endpoints in a row; a service whose endpoints fail one by one has others between. */
  private static final int MIN_UNREACHABLE = 4;

  /** How often one request tries whether the endpoints are reachable again, in milliseconds. */
  private static final long PROBE_MILLIS = 300;

  private final Set<String> unreachable = new HashSet<>();
  private long nextProbeNanos;

  void onUnreachable(String endpointId, long nowNanos) {
    if (unreachable.add(endpointId) && unreachable.size() == MIN_UNREACHABLE) {
      nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS);
    }
  }

  void onAnswered() {
    unreachable.clear();
  }

  boolean isPartitioned() {
    return unreachable.size() >= MIN_UNREACHABLE;
  }

  /** Returns whether the time for the next request that tries has come. */
  boolean tryProbe(long nowNanos) {
    if (nextProbeNanos - nowNanos > 0) {
      return false;
    }
    nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS);
    return true;
  }
}
