package org.buckthornferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Show the state of every version move. */
@Parameters(commandDescription = "Show the state of every version move")
final class VersionsCommand implements Command {
  @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

  @Override
  public String name() {
    return "versions";
  }

  @Override
  public ExitCode run() throws Exception {
    Optional<JsonNode> document = operator.get("/status");
    document.map(node -> node.path("rollouts")).ifPresent(OperatorOptions::print);
    return document.isPresent() ? ExitCode.SUCCESS : ExitCode.UNREACHABLE;
  }
}
