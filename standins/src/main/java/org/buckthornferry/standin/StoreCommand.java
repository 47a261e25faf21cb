package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

@Parameters(commandDescription = "Starts a key-value service")
final class StoreCommand extends StandInCommand {
  @Parameter(names = "--writes-per-second", description = "Changes and lease calls a second")
  long writesPerSecond = 500;

  @Parameter(names = "--reads-per-second", description = "Reads and watches a second")
  long readsPerSecond = 2_000;

  @Override
  String name() {
    return "store";
  }

  @Override
  StandIn create(StandInContext context) {
    return new StoreStandIn(
        context.eventLoops(),
        context.clock(),
        StandInContext.random(seed),
        writesPerSecond,
        readsPerSecond);
  }
}
