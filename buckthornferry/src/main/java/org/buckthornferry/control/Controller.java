package org.buckthornferry.control;

import java.util.Map;
import org.buckthornferry.peer.PeerMessage;

/**
 * Decides one subject. Runs only on the control thread, never blocks and performs no I/O itself;
 * futures of the services that it calls complete on the control thread.
 */
public interface Controller {
  /**
   * Handles a message of a peer. Messages may be lost, doubled, delayed and reordered. Types that
   * the controller does not own are ignored.
   *
   * @param nowNanos the monotonic time in nanoseconds
   */
  default void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {}

  /**
   * Handles the passing of time; called about every 10 milliseconds.
   *
   * @param nowNanos the monotonic time in nanoseconds
   */
  default void onTick(long nowNanos) {}

  /** Returns the controller's own state for a state dump; values are maps, lists and scalars. */
  default Map<String, Object> dump() {
    return Map.of();
  }
}
