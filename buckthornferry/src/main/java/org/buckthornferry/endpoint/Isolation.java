package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An endpoint that this instance reserves for one suspect, with the answers of the peers. */
final class Isolation {
  /** How long a peer keeps away from the endpoint after each notice. */
  static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long RENEW_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  final String endpointId;
  final long session;
  private final Map<String, Long> idlePeers = new HashMap<>();
  private long renewAtNanos;

  Isolation(String endpointId, long session, long nowNanos) {
    this.endpointId = endpointId;
    this.session = session;
    renewAtNanos = nowNanos;
  }

  boolean renewWhenDue(long nowNanos) {
    if (renewAtNanos - nowNanos > 0) {
      return false;
    }
    renewAtNanos = nowNanos + RENEW_NANOS;
    return true;
  }

  void onAck(String peer, int running, long nowNanos) {
    if (running == 0) {
      idlePeers.put(peer, nowNanos);
    } else {
      idlePeers.remove(peer);
    }
  }

  /** Returns whether every peer runs nothing on the endpoint and keeps away from it. */
  boolean isComplete(Set<String> peers, long nowNanos) {
    for (String peer : peers) {
      Long atNanos = idlePeers.get(peer);
      if (atNanos == null || nowNanos - atNanos >= VALID_NANOS) {
        return false;
      }
    }
    return true;
  }
}
