package org.buckthornferry.standin;

import com.beust.jcommander.ParameterException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.buckthornferry.util.MonotonicClock;

/** The command line {@code bin/standin}. */
public final class StandInMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private StandInMain() {}

  /** Starts the stand-ins of the command line; they run until the process ends. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String... arguments) {
    StandInParser parser = new StandInParser();
    try {
      parser.parse(arguments);
      if (parser.asksForHelp()) {
        System.out.print(parser.usage());
        return arguments.length == 0 ? EXIT_USAGE : 0;
      }
      List<StandInCommand> commands = commands(parser);
      serve(commands);
      return 0;
    } catch (ParameterException | IllegalArgumentException e) {
      System.err.println("standin: " + e.getMessage());
      return EXIT_USAGE;
    } catch (IOException | CompletionException e) {
      System.err.println("standin: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static List<StandInCommand> commands(StandInParser parser) throws IOException {
    if (parser.command().isPresent()) {
      return List.of(parser.command().get());
    }
    List<StandInCommand> commands = new ArrayList<>();
    for (StandInFile.Entry entry : StandInFile.read(parser.all().orElseThrow().file).standins()) {
      StandInParser entryParser = new StandInParser();
      entryParser.parse(entry.toArguments());
      commands.add(entryParser.command().orElseThrow());
    }
    return commands;
  }

  private static void serve(List<StandInCommand> commands) {
    EventLoopGroup eventLoops = new NioEventLoopGroup();
    StandInContext context =
        new StandInContext(eventLoops, MonotonicClock.SYSTEM, System::currentTimeMillis);
    for (StandInCommand command : commands) {
      new StandInServer(command.name(), command.port, eventLoops, command.create(context)).start();
    }
    System.out.println("ready standins=" + commands.size());
    eventLoops.terminationFuture().syncUninterruptibly();
  }
}
