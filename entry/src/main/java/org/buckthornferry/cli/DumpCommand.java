package org.buckthornferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Print the state dump of an instance. */
@Parameters(commandDescription = "Print the state dump of an instance")
final class DumpCommand implements Command {
  @ParametersDelegate private final OperatorOptions operator = new OperatorOptions();

  @Override
  public String name() {
    return "dump";
  }

  @Override
  public ExitCode run() throws Exception {
    Optional<JsonNode> document = operator.get("/dump");
    document.map(node -> node).ifPresent(OperatorOptions::print);
    return document.isPresent() ? ExitCode.SUCCESS : ExitCode.UNREACHABLE;
  }
}
