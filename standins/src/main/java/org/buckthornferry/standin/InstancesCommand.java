package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

@Parameters(commandDescription = "Starts an instance list")
final class InstancesCommand extends StandInCommand {
  @Parameter(names = "--lag-millis", description = "Age of the list that is returned")
  long lagMillis = 1_000;

  @Override
  String name() {
    return "instances";
  }

  @Override
  StandIn create(StandInContext context) {
    return new InstancesStandIn(context.clock(), lagMillis);
  }
}
