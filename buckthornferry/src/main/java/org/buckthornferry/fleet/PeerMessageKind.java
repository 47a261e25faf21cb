package org.buckthornferry.fleet;

import java.io.IOException;

/** What instances call each other for. */
public enum PeerMessageKind {
  /** Copies of the store's items, for an instance that the store turns away. */
  VIEW(1),
  /** A part of a customer's allowance. */
  ALLOWANCE(2),
  /** Changes in the store, for an instance that does not read it itself; replies are held. */
  CHANGES(3),
  /** Processes of endpoints that have ended under a content. */
  CRASHES(4),
  /** What an instance has seen of a move to another version. */
  MOVE(5);

  private final byte code;

  PeerMessageKind(int code) {
    this.code = (byte) code;
  }

  /** Returns whether replies wait for something to happen; such calls have their own connection. */
  boolean isHeld() {
    return this == CHANGES;
  }

  byte code() {
    return code;
  }

  static PeerMessageKind ofCode(byte code) throws IOException {
    for (PeerMessageKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    throw new IOException("unknown kind of message " + code);
  }
}
