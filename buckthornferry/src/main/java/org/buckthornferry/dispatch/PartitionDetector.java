package org.buckthornferry.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects that an instance is partitioned from the endpoints of a service. When several endpoints
 * are unreachable and none in between is reached, the fault is assumed to be on this side.
 *
 * <p>An instance may also be partitioned for new connections only. Answers on open ones do not end
 * that state; a new connection does.
 */
final class PartitionDetector {
  /**
   * The number of unreachable endpoints that indicates a partition; when endpoints fail one by one,
   * others are reached in between.
   */
  private static final int MIN_UNREACHABLE_ENDPOINTS = 4;

  /** The interval at which one request probes whether the endpoints are reachable again. */
  private static final long PROBE_INTERVAL_MILLIS = 300;

  /** How long a failed connection attempt counts, in milliseconds. */
  private static final long CONNECT_FAILURE_MILLIS = 3_000;

  private final Set<String> unreachable = new HashSet<>();
  private final Map<String, Long> connectFailureNanos = new HashMap<>();
  private int endpointCount = MIN_UNREACHABLE_ENDPOINTS;
  private long nextProbeNanos;

  /** Sets the endpoints of the service; failures at others no longer count. */
  void setEndpoints(Set<String> endpointIds) {
    endpointCount = endpointIds.size();
    unreachable.retainAll(endpointIds);
    connectFailureNanos.keySet().retainAll(endpointIds);
  }

  /** Records that a request could not be sent to an endpoint. */
  void onUnreachable(String endpointId, long nowNanos) {
    if (unreachable.add(endpointId) && unreachable.size() == MIN_UNREACHABLE_ENDPOINTS) {
      nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
    }
  }

  /** Records an answer, possibly on a connection that has been open for long. */
  void onAnswered() {
    unreachable.clear();
  }

  /** Records that no connection to an endpoint could be established. */
  void onConnectFailed(String endpointId, long nowNanos) {
    connectFailureNanos.put(endpointId, nowNanos);
  }

  /** Records that a connection to an endpoint was established. */
  void onConnected() {
    unreachable.clear();
    connectFailureNanos.clear();
  }

  /** Returns whether several endpoints in a row have been unreachable. */
  boolean isPartitioned() {
    return unreachable.size() >= MIN_UNREACHABLE_ENDPOINTS;
  }

  /** Returns whether no endpoint can be connected to, as far as was tried lately. */
  boolean isCutOff(long nowNanos) {
    long earliestNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(CONNECT_FAILURE_MILLIS);
    connectFailureNanos.values().removeIf(at -> at - earliestNanos < 0);
    return endpointCount > 0
        && connectFailureNanos.size() >= Math.min(MIN_UNREACHABLE_ENDPOINTS, endpointCount);
  }

  /** Returns whether connecting to an endpoint has failed lately. */
  boolean hasConnectFailed(String endpointId) {
    return connectFailureNanos.containsKey(endpointId);
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
