package reviewkit;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** One run of a case: its instances, its store, its record and its clean-up. */
public final class Run implements AutoCloseable {
  /** Exit status of a case whose rule held. */
  public static final int HELD = 0;

  /** Exit status of a case whose rule was broken. */
  public static final int BROKEN = 1;

  /** Exit status of a case that could not run. */
  public static final int NOT_RUN = 2;

  private final Path root = Path.of(System.getProperty("review.root")).toAbsolutePath();
  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final Store store = new Store();
  private List<Instance> instances = List.of();

  /** The steps of a case. */
  @FunctionalInterface
  public interface Steps {
    /** Runs the case; returns whether the rule held. */
    boolean run(Run run) throws Exception;
  }

  private Run(Path record) throws IOException {
    this.folder = Files.createTempDirectory("review");
    this.record = new PrintWriter(Files.newBufferedWriter(record), true);
  }

  /** Runs a case with a time limit and exits with its status. */
  public static void main(Path recordFile, Steps steps) throws IOException {
    Run run = new Run(recordFile);
    Thread cleanUp = new Thread(run::close, "clean-up");
    Runtime.getRuntime().addShutdownHook(cleanUp);
    Thread limit =
        new Thread(
            () -> {
              sleep(110_000);
              run.log("the case did not end in time");
              System.exit(NOT_RUN);
            });
    limit.setDaemon(true);
    limit.start();
    int status = NOT_RUN;
    try {
      status = steps.run(run) ? HELD : BROKEN;
    } catch (Exception | Error e) {
      run.log("the case could not run: " + e);
    }
    run.log("exit " + status);
    System.out.println("exit " + status);
    System.exit(status);
  }

  /** Returns whether the disruption takes place. */
  public static boolean isTroubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Returns the store. */
  public Store store() {
    return store;
  }

  /** Writes a line to the record, with the seconds since the start. */
  public synchronized void log(String line) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    record.println(String.format(Locale.ROOT, "%8.3f %s", seconds, line));
  }

  /** Starts instances and waits until they are ready and registered. */
  public List<Instance> startInstances(int count) throws IOException {
    instances = new ArrayList<>(Instance.create(root, folder, count, store));
    for (Instance instance : instances) {
      instance.start();
    }
    for (Instance instance : instances) {
      if (!instance.awaitReady(20_000)) {
        throw new IOException(instance.name() + " is not ready");
      }
    }
    sleep(1_500);
    log(count + " instances are ready");
    return instances;
  }

  /** Returns the log of an instance. */
  public String instanceLog(Instance instance) throws IOException {
    return Files.readString(folder.resolve(instance.name() + ".log"));
  }

  /** Sleeps. */
  public static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void close() {
    instances.forEach(Instance::kill);
    store.stop();
    String keep = System.getenv("REVIEW_KEEP");
    if (keep != null) {
      System.err.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      log("the temporary folder was not removed: " + e);
    }
  }
}
