package org.buckthornferry.peer;

/** Thrown when a peer violates the protocol; the connection must be closed. */
public final class PeerProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message is logged as the reason for closing the connection. */
  public PeerProtocolException(String message) {
    super(message);
  }
}
