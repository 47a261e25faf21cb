package org.buckthornferry.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Limits the requests to one cold endpoint. Its rate is divided among a few instances that all
 * instances choose alike; the others send nothing. A gate starts empty, so that a restarted
 * instance does not spend its part twice.
 */
final class ColdGate {
  /** Each chosen instance gets about this rate, so that its share is not mostly rounding. */
  private static final double REQUESTS_PER_SECOND_EACH = 1;

  private long nextNanos;
  private boolean started;

  /**
   * Takes the right to send one request.
   *
   * @param perSecond the rate that the endpoint bears from all instances together
   * @param instanceIds the live instances; when empty, this one takes the part of many
   */
  boolean tryTake(
      String endpointId, double perSecond, String selfId, List<String> instanceIds, long nowNanos) {
    int sharers = (int) Math.max(1, Math.floor(perSecond / REQUESTS_PER_SECOND_EACH));
    sharers = Math.min(sharers, Math.max(1, instanceIds.size()));
    if (rank(endpointId, selfId, instanceIds) >= sharers) {
      return false;
    }
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) * sharers / perSecond);
    if (!started) {
      started = true;
      nextNanos = nowNanos + intervalNanos;
      return false;
    }
    if (nextNanos - nowNanos > 0) {
      return false;
    }
    nextNanos = nowNanos + intervalNanos;
    return true;
  }

  /** Returns how many instances come before this one in the order for an endpoint. */
  private static int rank(String endpointId, String selfId, List<String> instanceIds) {
    long own = weight(endpointId, selfId);
    int before = 0;
    for (String other : instanceIds) {
      if (!other.equals(selfId) && weight(endpointId, other) > own) {
        before++;
      }
    }
    return before;
  }

  private static long weight(String endpointId, String instanceId) {
    long hash = endpointId.hashCode() * 0x9E3779B97F4A7C15L + instanceId.hashCode();
    hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
    return (hash ^ (hash >>> 29)) >>> 1;
  }
}
