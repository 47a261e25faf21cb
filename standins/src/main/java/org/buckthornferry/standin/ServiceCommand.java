package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

@Parameters(commandDescription = "Starts a plain service")
final class ServiceCommand extends StandInCommand {
  @Parameter(names = "--id", description = "Endpoint id in the declarations")
  String id = "service";

  @Parameter(names = "--failure-domain", description = "Failure domain, for the request log")
  String failureDomain = "";

  @Parameter(names = "--version", description = "Version that is loaded at start")
  String version = "v1";

  @Parameter(names = "--delay-millis", description = "Time of one run")
  long delayMillis = 20;

  @Parameter(names = "--max-concurrent", description = "Requests that run at once")
  int maxConcurrent = 64;

  @Parameter(
      names = "--checks-fencing",
      arity = 1,
      description = "Whether orders with an old fencing number are refused")
  boolean checksFencing = true;

  @Override
  String name() {
    return id;
  }

  @Override
  StandIn create(StandInContext context) {
    return new ServiceStandIn(
        context.eventLoops().next(),
        new ServiceSettings(id, failureDomain, version, delayMillis, maxConcurrent, checksFencing),
        context.wallMillis(),
        StandInContext.random(seed));
  }
}
