package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.buckthornferry.config.Settings;
import org.buckthornferry.node.EntryNode;

/** Runs an entry instance until it is told to stop. */
@Parameters(commandDescription = "Run an entry instance")
final class EntryCommand implements Command {
  @Parameter(names = "--settings", description = "JSON file with the settings", required = true)
  private String settingsFile;

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public ExitCode run() throws Exception {
    logJsonLines();
    Settings settings = Settings.load(Path.of(settingsFile));
    EntryNode node = new EntryNode(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndExit(node), "shutdown"));
    node.start().join();
    // The shutdown hook ends the process.
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }

  /** A stop on request is a success; without this the process would end with the signal's code. */
  private static void stopAndExit(EntryNode node) {
    node.stop();
    System.out.flush();
    Runtime.getRuntime().halt(ExitCode.SUCCESS.code());
  }

  private static void logJsonLines() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      handler.setFormatter(new JsonLogFormatter());
    }
  }
}
