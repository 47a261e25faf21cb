package org.buckthornferry.standin;

import java.util.function.Consumer;
import org.buckthornferry.http.HttpHandler;

/** One stand-in without its server. */
interface StandIn extends HttpHandler {
  /** Returns the switch behind {@code /admin/faults}. */
  FaultSwitch<?> faults();

  /**
   * Registers who closes the port while the process of the system would be down. The listener gets
   * {@code false} to close and {@code true} to open the port.
   */
  default void onListening(Consumer<Boolean> listener) {}

  /** Starts timers. */
  default void start() {}

  /** Stops timers. */
  default void stop() {}
}
