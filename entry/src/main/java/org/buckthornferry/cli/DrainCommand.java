package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Take a failure domain out of service. */
@Parameters(commandDescription = "Take a failure domain out of service")
final class DrainCommand implements Command {
  @ParametersDelegate private final StoreOptions store = new StoreOptions();

  @Parameter(description = "FAILURE_DOMAIN", required = true)
  private String failureDomain;

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public ExitCode run() {
    return store.publish(publisher -> publisher.drain(failureDomain));
  }
}
