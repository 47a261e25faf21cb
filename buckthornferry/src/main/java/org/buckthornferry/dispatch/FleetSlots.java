package org.buckthornferry.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The slots of one endpoint that fails when it has to reject too many requests in a second. Kept by
 * the endpoint's coordinator for all instances: a request is sent only if a slot is free, so that
 * it is not rejected. Rejections happen nevertheless, for example when a new coordinator does not
 * know of all running requests; grants whose outcome is not yet known count as such.
 */
public final class FleetSlots {
  /** The time over which rejections count, in milliseconds. */
  private static final long WINDOW_MILLIS = 1_000;

  /** Time after a grant within which a rejection is reported, in milliseconds. */
  private static final long REPORT_MILLIS = 50;

  /** The share of the permitted rejections that is risked; the rest covers late reports. */
  private static final double RISKED_SHARE = 0.6;

  /** The wait before the next question for a slot, in milliseconds. */
  private static final long RETRY_MILLIS = 20;

  /**
   * Added to that wait per instance that asks, in milliseconds; limits the questions to a few
   * hundred per second.
   */
  private static final long RETRY_MILLIS_PER_INSTANCE = 2;

  private final Map<String, Integer> running = new HashMap<>();
  private final Deque<Long> rejectedNanos = new ArrayDeque<>();
  private final Deque<Long> grantedNanos = new ArrayDeque<>();

  /**
   * What a coordinator may grant.
   *
   * @param slots the requests that may run at a time
   * @param maxRejectionsPerSecond the rejections in a second that the endpoint survives
   */
  public record Terms(int slots, double maxRejectionsPerSecond) {}

  /**
   * Takes a slot for an instance.
   *
   * @param runningNow the requests of the instance that run at the endpoint
   * @return 0 if the slot was granted, else when to ask again, in milliseconds
   */
  public long take(String instanceId, int runningNow, Terms terms, long nowNanos) {
    onPresent(instanceId, runningNow);
    dropOlderThan(rejectedNanos, nowNanos, WINDOW_MILLIS);
    dropOlderThan(grantedNanos, nowNanos, REPORT_MILLIS);
    int risked = rejectedNanos.size() + grantedNanos.size();
    int permitted = (int) Math.max(1, RISKED_SHARE * terms.maxRejectionsPerSecond);
    if (risked >= permitted || running() >= terms.slots) {
      return RETRY_MILLIS + RETRY_MILLIS_PER_INSTANCE * running.size();
    }
    running.merge(instanceId, 1, Integer::sum);
    grantedNanos.addLast(nowNanos);
    return 0;
  }

  /** Records how many requests of an instance run at the endpoint. */
  public void onPresent(String instanceId, int runningNow) {
    running.put(instanceId, Math.max(0, runningNow));
  }

  /** Records the end of a request. */
  public void onEnded(String instanceId, boolean wasRejected, long nowNanos) {
    running.computeIfPresent(instanceId, (id, count) -> Math.max(0, count - 1));
    // Either way the outcome of one grant is known.
    grantedNanos.pollFirst();
    if (wasRejected) {
      rejectedNanos.addLast(nowNanos);
    }
  }

  /** Forgets the requests of instances that are no longer there. */
  public void retainInstances(Predicate<String> isPresent) {
    running.keySet().removeIf(isPresent.negate());
  }

  /** Returns the number of requests that run at the endpoint, as far as known. */
  public int running() {
    return running.values().stream().mapToInt(Integer::intValue).sum();
  }

  private static void dropOlderThan(Deque<Long> nanos, long nowNanos, long millis) {
    while (!nanos.isEmpty()
        && nowNanos - nanos.peekFirst() >= TimeUnit.MILLISECONDS.toNanos(millis)) {
      nanos.removeFirst();
    }
  }
}
