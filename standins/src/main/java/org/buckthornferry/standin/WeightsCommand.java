package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

@Parameters(commandDescription = "Starts a weight store")
final class WeightsCommand extends StandInCommand {
  @Parameter(names = "--weight-bytes", description = "Size of every model")
  long weightBytes = 64L << 20;

  @Parameter(names = "--bytes-per-second", description = "Rate that all downloads share")
  long bytesPerSecond = 16L << 20;

  @Parameter(names = "--max-downloads", description = "Downloads at once")
  int maxDownloads = 4;

  @Override
  String name() {
    return "weights";
  }

  @Override
  StandIn create(StandInContext context) {
    return new WeightsStandIn(
        context.eventLoops().next(), weightBytes, bytesPerSecond, maxDownloads);
  }
}
