package org.buckthornferry.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;

/** The command line of the load tool. */
public final class LoadMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private LoadMain() {}

  /** Runs the load command; exits with 1 when a file cannot be read or written. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String... arguments) {
    LoadOptions options = new LoadOptions();
    JCommander parser = JCommander.newBuilder().programName("load").addObject(options).build();
    try {
      parser.parse(arguments);
      if (options.help) {
        parser.usage();
        return 0;
      }
      new LoadCommand(options, System.out).run();
      return 0;
    } catch (ParameterException | IllegalArgumentException e) {
      System.err.println("load: " + e.getMessage());
      return EXIT_USAGE;
    } catch (IOException e) {
      System.err.println("load: " + e.getMessage());
      return EXIT_FAILED;
    }
  }
}
