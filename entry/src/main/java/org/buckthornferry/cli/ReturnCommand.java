package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Bring a failure domain back into service. */
@Parameters(commandDescription = "Bring a failure domain back into service")
final class ReturnCommand implements Command {
  @ParametersDelegate private final StoreOptions store = new StoreOptions();

  @Parameter(description = "FAILURE_DOMAIN", required = true)
  private String failureDomain;

  @Override
  public String name() {
    return "return";
  }

  @Override
  public ExitCode run() {
    return store.publish(publisher -> publisher.returnDomain(failureDomain));
  }
}
