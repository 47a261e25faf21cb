package org.buckthornferry.relay;

import java.io.IOException;

/** A request to an endpoint failed that another instance was to pass on. */
final class ForwardFailure extends IOException {
  private static final long serialVersionUID = 1L;

  /** Where a forwarded request failed, and whether the endpoint may have received it. */
  enum Kind {
    /** The other instance is itself cut off, overloaded or about to end; nothing was sent. */
    REFUSED(false),
    /** The other instance sends no requests to the endpoint now; nothing was sent. */
    ENDPOINT_UNUSABLE(false),
    /** The other instance cannot connect to the endpoint; nothing was sent. */
    ENDPOINT_UNREACHABLE(false),
    /** The connection to the endpoint broke before its response began. */
    ENDPOINT_BROKEN(true),
    /** The other instance could not be connected to; nothing was sent. */
    PEER_UNREACHABLE(false),
    /** The connection to the other instance broke. */
    PEER_BROKEN(true);

    private final boolean mayHaveReachedEndpoint;

    Kind(boolean mayHaveReachedEndpoint) {
      this.mayHaveReachedEndpoint = mayHaveReachedEndpoint;
    }

    boolean mayHaveReachedEndpoint() {
      return mayHaveReachedEndpoint;
    }

    /** Returns whether the failure says nothing about the endpoint. */
    boolean isOfPeer() {
      return this == REFUSED || this == PEER_UNREACHABLE || this == PEER_BROKEN;
    }
  }

  private final Kind kind;

  ForwardFailure(Kind kind, String message) {
    super(kind + ": " + message);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }
}
