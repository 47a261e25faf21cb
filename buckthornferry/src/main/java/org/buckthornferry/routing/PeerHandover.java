package org.buckthornferry.routing;

/** Passes waiting requests to other instances. Used on the control thread. */
@FunctionalInterface
public interface PeerHandover {
  /** Passes nothing on. */
  PeerHandover NONE = (request, nowNanos) -> false;

  /**
   * Offers a request to a peer. When the result is true, the peer answers for the request and this
   * instance neither dispatches nor refuses it.
   */
  boolean handOver(PendingRequest request, long nowNanos);
}
