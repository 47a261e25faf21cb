package org.buckthornferry.load;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.buckthornferry.cli.Command;
import org.buckthornferry.cli.ExitCode;

/** The sub-command {@code load} of the command line. */
@Parameters(commandDescription = "Send a load scenario and write its reports")
public final class LoadCommand implements Command {
  @ParametersDelegate private final LoadOptions options = new LoadOptions();

  @Override
  public String name() {
    return "load";
  }

  @Override
  public ExitCode run() throws Exception {
    new LoadRun(options, System.out).run();
    return ExitCode.SUCCESS;
  }
}
