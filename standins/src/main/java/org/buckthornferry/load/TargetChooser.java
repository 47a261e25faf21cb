package org.buckthornferry.load;

import java.net.InetSocketAddress;

/** Chooses where a caller sends its request. Safe for concurrent use. */
interface TargetChooser {
  /**
   * Returns the address for an attempt.
   *
   * @param attempt 0 for the first sending
   */
  InetSocketAddress choose(Arrival arrival, int attempt);

  /** An attempt at an address has ended. */
  default void ended(InetSocketAddress address) {}

  /** Returns whether requests bypass the entry instances. */
  boolean isDirect();
}
