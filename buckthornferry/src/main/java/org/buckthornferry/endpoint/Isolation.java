package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The reservation of an endpoint for one suspect content, with the acknowledgements of peers. */
final class Isolation {
  /** How long a peer sends no requests to the endpoint after each notice. */
  static final long RESERVATION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** How long an acknowledgement counts; shorter than the reservation to allow for its delay. */
  private static final long ACK_VALID_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final long RENEW_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  final String endpointId;
  final long session;
  private final Map<String, Long> idleAckNanos = new HashMap<>();
  private long nextRenewNanos;

  Isolation(String endpointId, long session, long nowNanos) {
    this.endpointId = endpointId;
    this.session = session;
    nextRenewNanos = nowNanos;
  }

  boolean renewWhenDue(long nowNanos) {
    if (nextRenewNanos - nowNanos > 0) {
      return false;
    }
    nextRenewNanos = nowNanos + RENEW_PERIOD_NANOS;
    return true;
  }

  void onAck(String peer, int running, long nowNanos) {
    if (running == 0) {
      idleAckNanos.put(peer, nowNanos);
    } else {
      idleAckNanos.remove(peer);
    }
  }

  /** Returns whether every peer runs nothing on the endpoint and honours the reservation. */
  boolean isConfirmed(Set<String> peers, long nowNanos) {
    for (String peer : peers) {
      Long atNanos = idleAckNanos.get(peer);
      if (atNanos == null || nowNanos - atNanos >= ACK_VALID_NANOS) {
        return false;
      }
    }
    return true;
  }
}
