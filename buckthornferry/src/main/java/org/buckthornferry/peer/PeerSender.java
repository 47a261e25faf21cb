package org.buckthornferry.peer;

/** Sends messages to other instances without any delivery guarantee. */
@FunctionalInterface
public interface PeerSender {
  /**
   * Sends {@code message} to an instance. The message may be lost, doubled, delayed or reordered,
   * and the sender is not told; unknown instances are ignored.
   */
  void send(String toInstanceId, PeerMessage message);
}
