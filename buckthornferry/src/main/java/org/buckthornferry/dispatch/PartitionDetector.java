package org.buckthornferry.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects that an instance is partitioned from the endpoints of a service. When several endpoints
 * in a row are unreachable and none in between answers, the fault is assumed to be on this side.
 */
final class PartitionDetector {
  /**
   * The number of endpoints in a row that indicates a partition; when endpoints fail one by one,
   * others answer in between.
   */
  private static final int MIN_UNREACHABLE_ENDPOINTS = 4;

  /** The interval at which one request probes whether the endpoints are reachable again. */
  private static final long PROBE_INTERVAL_MILLIS = 300;

  private final Set<String> unreachable = new HashSet<>();
  private long nextProbeNanos;

  void onUnreachable(String endpointId, long nowNanos) {
    if (unreachable.add(endpointId) && unreachable.size() == MIN_UNREACHABLE_ENDPOINTS) {
      nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
    }
  }

  void onAnswered() {
    unreachable.clear();
  }

  boolean isPartitioned() {
    return unreachable.size() >= MIN_UNREACHABLE_ENDPOINTS;
  }

  /** Returns whether the next probe is due; if so, schedules the one after it. */
  boolean tryProbe(long nowNanos) {
    if (nextProbeNanos - nowNanos > 0) {
      return false;
    }
    nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
    return true;
  }
}
