package org.buckthornferry.routing;

/** Hands waiting requests over to other instances. Used on the control thread. */
@FunctionalInterface
public interface PeerHandover {
  /** Hands nothing over. */
  PeerHandover NONE = (request, nowNanos) -> false;

  /**
   * Offers a request to a peer. Returns true when the peer has taken responsibility for it; this
   * instance then neither dispatches nor refuses it.
   */
  boolean handOver(PendingRequest request, long nowNanos);
}
