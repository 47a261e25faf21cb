package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;

@Parameters(commandDescription = "Starts the stand-ins of a file in one process")
final class AllCommand {
  @Parameter(names = "--help", help = true, description = "Prints the options")
  boolean help;

  @Parameter(names = "--file", required = true, description = "JSON file with the stand-ins")
  Path file;
}
