package org.buckthornferry.routing;

/** How many requests this instance may run on each endpoint now. Used on the control thread. */
public interface ConcurrencyLimits {
  /** Returns how many further requests this instance may start on an endpoint. */
  int available(String endpointId, long nowNanos);

  /** Takes one place on an endpoint; returns false when none is free. */
  boolean tryAcquire(String endpointId, long nowNanos);

  /** Gives a place back after the request has ended. */
  void release(String endpointId, long nowNanos);
}
