package org.buckthornferry.control;

import java.util.Map;
import org.buckthornferry.peer.PeerMessage;

/**
 * Implements one part of an instance's control logic. Runs only on the control thread, never blocks
 * and performs no I/O itself; futures of the services that it calls complete on the control thread.
 */
public interface Controller {
  /**
   * Handles a message from a peer. Messages may be lost, duplicated, delayed or reordered. The
   * controller ignores message types that it does not handle.
   *
   * @param nowNanos the monotonic time in nanoseconds
   */
  default void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {}

  /**
   * Handles timers and deadlines; called about every 10 milliseconds.
   *
   * @param nowNanos the monotonic time in nanoseconds
   */
  default void onTick(long nowNanos) {}

  /** Returns the controller's state for a state dump; values are maps, lists and scalars. */
  default Map<String, Object> dump() {
    return Map.of();
  }
}
