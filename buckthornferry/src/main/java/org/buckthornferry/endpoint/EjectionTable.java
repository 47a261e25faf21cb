package org.buckthornferry.endpoint;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The ejections that this instance decided, kept until their endpoints have returned. An ejection
 * counts from its decision, because the owner of the endpoint applies it later.
 */
final class EjectionTable {
  /** Expires an entry whose return notice was lost; longer than any ejection lasts. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(90);

  private final Map<String, Ejection> ejections = new TreeMap<>();

  private record Ejection(String serviceId, long sinceNanos, boolean applied) {}

  int count(String serviceId) {
    int count = 0;
    for (Ejection ejection : ejections.values()) {
      count += ejection.serviceId.equals(serviceId) ? 1 : 0;
    }
    return count;
  }

  boolean contains(String endpointId) {
    return ejections.containsKey(endpointId);
  }

  void eject(String endpointId, String serviceId, long nowNanos) {
    ejections.put(endpointId, new Ejection(serviceId, nowNanos, false));
  }

  /** Handles a state decided by the owner of an endpoint. */
  void onOwnerState(String endpointId, EndpointState state) {
    Ejection ejection = ejections.get(endpointId);
    if (ejection == null) {
      return;
    }
    if (state == EndpointState.STRAGGLING) {
      ejections.put(endpointId, new Ejection(ejection.serviceId, ejection.sinceNanos, true));
    } else if (ejection.applied) {
      ejections.remove(endpointId);
    }
  }

  void onTick(long nowNanos) {
    Iterator<Ejection> iterator = ejections.values().iterator();
    while (iterator.hasNext()) {
      if (nowNanos - iterator.next().sinceNanos > MAX_AGE_NANOS) {
        iterator.remove();
      }
    }
  }
}
