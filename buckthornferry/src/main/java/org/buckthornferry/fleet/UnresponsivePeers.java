package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.MonotonicClock;

/** The instances that did not reply to the last call, each with the time of its next call. */
public final class UnresponsivePeers {
  private final long retryMillis;
  private final MonotonicClock clock;
  private final Map<String, Long> retryNanos = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param retryMillis delay before an unresponsive instance is called again
   */
  public UnresponsivePeers(long retryMillis, MonotonicClock clock) {
    this.retryMillis = retryMillis;
    this.clock = clock;
  }

  /** Returns whether an instance did not reply to the last call. */
  public boolean contains(String instanceId) {
    return retryNanos.containsKey(instanceId);
  }

  /** Returns whether it is too early to call an instance again. */
  public boolean isInBackoff(String instanceId) {
    Long untilNanos = retryNanos.get(instanceId);
    return untilNanos != null && untilNanos - clock.nanoTime() > 0;
  }

  /** Records a call without a reply; returns whether the previous call had one. */
  public boolean onNoReply(String instanceId) {
    long untilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retryMillis);
    return retryNanos.put(instanceId, untilNanos) == null;
  }

  /** Records a reply; returns whether the previous call had none. */
  public boolean onReply(String instanceId) {
    return retryNanos.remove(instanceId) != null;
  }

  /** Forgets all instances but the given ones. */
  public void retainAll(Collection<String> instanceIds) {
    retryNanos.keySet().retainAll(instanceIds);
  }
}
