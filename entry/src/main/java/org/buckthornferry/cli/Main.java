package org.buckthornferry.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import org.buckthornferry.config.ConfigException;

/** The entry point of {@code bin/buckthornferry}. */
public final class Main {
  private static final String VERSION = "0.1.0";

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean help;

  @Parameter(names = "--version", description = "Show the version")
  private boolean version;

  private final Map<String, Command> commands = new LinkedHashMap<>();

  Main() {
    for (Command command :
        List.of(
            new EntryCommand(),
            new CheckCommand(),
            new PublishCommand(),
            new StatusCommand(),
            new DrainCommand(),
            new ReturnCommand(),
            new VersionsCommand(),
            new DumpCommand(),
            new ExplainCommand())) {
      commands.put(command.name(), command);
    }
    for (Command command : ServiceLoader.load(Command.class)) {
      commands.put(command.name(), command);
    }
  }

  /** Runs the command line and ends the process with its exit code. */
  public static void main(String[] args) {
    ExitCode exitCode = new Main().run(args);
    if (exitCode != ExitCode.SUCCESS) {
      System.exit(exitCode.code());
    }
  }

  /** Runs the command line and returns its exit code. */
  ExitCode run(String... args) {
    JCommander parser =
        JCommander.newBuilder().programName("buckthornferry").addObject(this).build();
    commands.forEach(parser::addCommand);
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    if (version) {
      System.out.println("buckthornferry " + VERSION);
      return ExitCode.SUCCESS;
    }
    if (help || parser.getParsedCommand() == null) {
      parser.usage();
      return help ? ExitCode.SUCCESS : ExitCode.USAGE;
    }
    return runCommand(commands.get(parser.getParsedCommand()));
  }

  private static ExitCode runCommand(Command command) {
    try {
      return command.run();
    } catch (ConfigException e) {
      System.err.println(e.getMessage());
      return ExitCode.INVALID;
    } catch (Exception e) {
      System.err.println(command.name() + ": " + e.getMessage());
      return ExitCode.FAILED;
    }
  }
}
