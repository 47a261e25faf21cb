package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Tells from log lines on standard input what became of a request. */
@Parameters(commandDescription = "Tell from log lines on standard input what became of a request")
final class ExplainCommand implements Command {
  @Parameter(description = "ID of the request, as in its answer and in the logs", required = true)
  private String requestId;

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public ExitCode run() throws IOException {
    try (BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      RequestStory story = RequestStory.read(input.lines(), requestId);
      System.out.print(story.describe());
      return story.isKnown() ? ExitCode.SUCCESS : ExitCode.FAILED;
    }
  }
}
