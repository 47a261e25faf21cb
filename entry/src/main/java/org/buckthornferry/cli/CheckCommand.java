package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.buckthornferry.config.DeclarationLoader;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.Settings;

/** Checks settings and declarations without any network access. */
@Parameters(commandDescription = "Check settings and declarations without network access")
final class CheckCommand implements Command {
  @Parameter(names = "--settings", description = "JSON file with the settings of an instance")
  private String settingsFile;

  @Parameter(description = "[DIRECTORY with declarations]")
  private String directory;

  @Override
  public String name() {
    return "check";
  }

  @Override
  public ExitCode run() {
    if (settingsFile == null && directory == null) {
      System.err.println("check: give --settings FILE, a DIRECTORY, or both");
      return ExitCode.USAGE;
    }
    if (settingsFile != null) {
      Settings settings = Settings.load(Path.of(settingsFile));
      System.out.println("settings of " + settings.instanceId() + " are valid");
    }
    if (directory != null) {
      Declarations declarations = DeclarationLoader.load(Path.of(directory));
      System.out.println(
          declarations.services().size()
              + " services, "
              + declarations.customers().size()
              + " customers and "
              + declarations.failureDomains().size()
              + " failure domains are valid");
    }
    return ExitCode.SUCCESS;
  }
}
