package org.buckthornferry.peer;

/** A peer sent bytes that are not a valid frame; the connection must be closed. */
public final class PeerProtocolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message is logged as the reason for closing the connection. */
  public PeerProtocolException(String message) {
    super(message);
  }
}
