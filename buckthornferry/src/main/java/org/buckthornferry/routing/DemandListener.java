package org.buckthornferry.routing;

/** Receives the concurrency that this instance could use on each endpoint. */
@FunctionalInterface
public interface DemandListener {
  /** Ignores the demand. */
  DemandListener NONE = (endpointId, concurrent, nowNanos) -> {};

  /** Called with the number of requests that this instance would run on an endpoint at once. */
  void onDemand(String endpointId, int concurrent, long nowNanos);
}
