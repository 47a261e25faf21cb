package org.buckthornferry.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Rendezvous;

/**
 * Limits the request rate at one cold endpoint. The rate is divided among a few sender instances,
 * which all instances choose alike by rendezvous hashing; the others send nothing. A new limiter
 * waits for one interval first, so that a restarted instance does not spend its share twice.
 */
final class ColdStartLimiter {
  /** The approximate rate of each sender; much lower rates would suffer from rounding. */
  private static final double REQUESTS_PER_SECOND_PER_SENDER = 1;

  /** The number of senders that is assumed while the other instances are unknown. */
  private static final int UNKNOWN_SENDERS = 16;

  private long intervalNanos;
  private long nextNanos;
  private boolean started;

  /**
   * Returns when the next request may be sent, or {@link Dispatcher#NEVER} when this instance is
   * not one of the senders.
   *
   * @param perSecond the rate limit of the endpoint over all instances
   * @param instanceIds the live instances; when empty, a fixed number of senders is assumed
   */
  long nextSendNanos(
      String endpointId, double perSecond, String selfId, List<String> instanceIds, long nowNanos) {
    int senders = (int) Math.max(1, Math.floor(perSecond / REQUESTS_PER_SECOND_PER_SENDER));
    if (instanceIds.isEmpty()) {
      senders = UNKNOWN_SENDERS;
    } else {
      senders = Math.min(senders, instanceIds.size());
    }
    if (Rendezvous.rank(endpointId, selfId, instanceIds) >= senders) {
      return Dispatcher.NEVER;
    }
    intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) * senders / perSecond);
    if (!started) {
      started = true;
      nextNanos = nowNanos + intervalNanos;
    }
    return nextNanos;
  }

  /** Records that a request is being sent. */
  void onSent(long nowNanos) {
    nextNanos = nowNanos + intervalNanos;
  }
}
