package org.buckthornferry.endpoint;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The ejections that this instance decided, until their endpoints have certainly returned. An
 * ejection counts from the decision on, because the owner of the endpoint carries it out later.
 */
final class EjectionTable {
  /** Longer than any ejection lasts, for the case that the notice of a return is lost. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(90);

  private final Map<String, Ejection> ejections = new TreeMap<>();

  private record Ejection(String serviceId, long sinceNanos, boolean carriedOut) {}

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

  /** Handles the state that the owner of an endpoint decided. */
  void onOwnerState(String endpointId, EndpointState state) {
    Ejection ejection = ejections.get(endpointId);
    if (ejection == null) {
      return;
    }
    if (state == EndpointState.STRAGGLING) {
      ejections.put(endpointId, new Ejection(ejection.serviceId, ejection.sinceNanos, true));
    } else if (ejection.carriedOut) {
      ejections.remove(endpointId);
    }
  }

  void onTick(long nowNanos) {
    Iterator<Ejection> iterator = ejections.values().iterator();
    while (iterator.hasNext()) {
      if (nowNanos - iterator.next().sinceNanos > FORGET_NANOS) {
        iterator.remove();
      }
    }
  }
}
