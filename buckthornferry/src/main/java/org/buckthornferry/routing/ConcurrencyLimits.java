package org.buckthornferry.routing;

/** Limits how many requests this instance runs on each endpoint. Used on the control thread. */
public interface ConcurrencyLimits {
  /** Returns how many further requests this instance may start on an endpoint. */
  int available(String endpointId, long nowNanos);

  /** Acquires one slot on an endpoint; returns false when none is free. */
  boolean tryAcquire(String endpointId, long nowNanos);

  /** Releases a slot after its request has ended. */
  void release(String endpointId, long nowNanos);
}
