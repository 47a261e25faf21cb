package org.buckthornferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Show what an instance serves, sheds and moves. */
@Parameters(commandDescription = "Show what an instance serves, sheds and moves")
final class StatusCommand implements Command {
  @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

  @Override
  public String name() {
    return "status";
  }

  @Override
  public ExitCode run() throws Exception {
    Optional<JsonNode> document = operator.get("/status");
    document.map(node -> node).ifPresent(OperatorOptions::print);
    return document.isPresent() ? ExitCode.SUCCESS : ExitCode.UNREACHABLE;
  }
}
