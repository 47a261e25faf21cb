package org.buckthornferry.peer;

/** Sends messages to other instances without delivery guarantees. */
@FunctionalInterface
public interface PeerSender {
  /**
   * Sends {@code message} to an instance. The message may be lost, duplicated, delayed or reordered
   * without notice to the sender; messages to unknown instances are dropped.
   */
  void send(String toInstanceId, PeerMessage message);
}
