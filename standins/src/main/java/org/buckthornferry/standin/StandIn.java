package org.buckthornferry.standin;

import org.buckthornferry.http.HttpHandler;

/** One stand-in without its server. */
interface StandIn extends HttpHandler {
  /** Returns the switch behind {@code /admin/faults}. */
  FaultSwitch<?> faults();

  /** Starts timers. */
  default void start() {}

  /** Stops timers. */
  default void stop() {}
}
