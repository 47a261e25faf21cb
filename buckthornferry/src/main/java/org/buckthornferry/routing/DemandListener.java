package org.buckthornferry.routing;

/** Learns how much of each endpoint this instance could use. */
@FunctionalInterface
public interface DemandListener {
  /** Ignores the demand. */
  DemandListener NONE = (endpointId, concurrent, nowNanos) -> {};

  /** Reports how many requests this instance would run on an endpoint at once. */
  void onDemand(String endpointId, int concurrent, long nowNanos);
}
