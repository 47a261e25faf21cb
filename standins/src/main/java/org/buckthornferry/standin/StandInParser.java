package org.buckthornferry.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Parses the command line of {@code bin/standin}. */
final class StandInParser {
  private final Map<String, StandInCommand> commands = new LinkedHashMap<>();
  private final AllCommand all = new AllCommand();
  private final GlobalOptions global = new GlobalOptions();
  private final JCommander parser;

  /** The options before a sub-command. */
  private static final class GlobalOptions {
    @Parameter(names = "--help", help = true, description = "Prints the commands and options")
    private boolean help;
  }

  StandInParser() {
    commands.put("store", new StoreCommand());
    commands.put("engine", new EngineCommand());
    commands.put("service", new ServiceCommand());
    commands.put("instances", new InstancesCommand());
    commands.put("weights", new WeightsCommand());
    JCommander.Builder builder = JCommander.newBuilder().programName("standin").addObject(global);
    commands.forEach(builder::addCommand);
    builder.addCommand("all", all);
    parser = builder.build();
  }

  /**
   * Parses the arguments.
   *
   * @throws com.beust.jcommander.ParameterException when an option is unknown or missing
   */
  void parse(String... arguments) {
    parser.parse(arguments);
  }

  /** Returns the chosen sub-command when it starts one stand-in. */
  Optional<StandInCommand> command() {
    return Optional.ofNullable(parser.getParsedCommand()).map(commands::get);
  }

  /** Returns the options of {@code all} when that was chosen. */
  Optional<AllCommand> all() {
    return "all".equals(parser.getParsedCommand()) ? Optional.of(all) : Optional.empty();
  }

  boolean asksForHelp() {
    return global.help
        || parser.getParsedCommand() == null
        || all.help
        || command().map(c -> c.help).orElse(false);
  }

  String usage() {
    StringBuilder text = new StringBuilder();
    String command = parser.getParsedCommand();
    if (command == null) {
      parser.getUsageFormatter().usage(text);
    } else {
      parser.getUsageFormatter().usage(command, text);
    }
    return text.toString();
  }
}
