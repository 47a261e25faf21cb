package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;

/** A sub-command that starts one stand-in. JCommander sets the fields. */
abstract class StandInCommand {
  @Parameter(names = "--help", help = true, description = "Prints the options")
  boolean help;

  @Parameter(names = "--port", required = true, description = "The port on 127.0.0.1")
  int port;

  @Parameter(names = "--seed", description = "Seed of all random choices")
  long seed = 1;

  /** Returns the name in log lines. */
  abstract String name();

  /** Creates the stand-in that the options describe. */
  abstract StandIn create(StandInContext context);
}
