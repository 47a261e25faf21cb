import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment of a case: the store, instances and the record. */
final class Bed implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  private static final String[] ZONES = {"recife-a", "fortaleza-b", "natal-c"};

  final Store store = new Store();
  final List<Instance> instances = new ArrayList<>();
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  private final long startNanos = System.nanoTime();
  private final Path folder = Files.createTempDirectory("review-case");
  private final PrintWriter record;
  private final Thread cleanUp = new Thread(this::endInstances);

  /** The part of a case that needs a deployment; returns whether the rule was broken. */
  interface Body {
    int run(Bed bed) throws Exception;
  }

  /** Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if it failed. */
  static void play(String caseFolder, Body body) {
    int code = COULD_NOT_RUN;
    try (Bed bed = new Bed(caseFolder)) {
      code = body.run(bed);
    } catch (Exception e) {
      System.err.println("could not run: " + e);
    }
    System.exit(code);
  }

  /** Opens the record of a case, {@code record.txt} in its folder. */
  Bed(String caseFolder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
    Runtime.getRuntime().addShutdownHook(cleanUp);
    note("trouble=%s", hasTrouble);
  }

  /** Writes one line with the time since the start in milliseconds. */
  synchronized void note(String format, Object... arguments) {
    record.printf("%9.1f ", millis(System.nanoTime()));
    record.printf(format, arguments);
    record.println();
  }

  /** Prints and records a line of the result. */
  void result(String format, Object... arguments) {
    System.out.printf(format + "%n", arguments);
    note(format, arguments);
  }

  double millis(long nanos) {
    return (nanos - startNanos) / 1e6;
  }

  /** Starts instances, one after the other in each zone, and waits until all are ready. */
  void startInstances(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      String zone = ZONES[i % ZONES.length];
      instances.add(new Instance("edge-" + zone + "-" + (i / ZONES.length + 1), zone, folder));
    }
    List<String> seeds = instances.stream().limit(3).map(Instance::control).toList();
    for (Instance instance : instances) {
      instance.writeSettings(store.address(), seeds);
      instance.start();
      note("started %s pid=%d", instance.name(), instance.process().pid());
    }
    for (Instance instance : instances) {
      awaitReady(instance);
    }
    long until = System.nanoTime() + 10_000_000_000L;
    while (store.count("buckthornferry/instances/") < count && System.nanoTime() < until) {
      Worker.sleep(50);
    }
    note("ready instances=%d", store.count("buckthornferry/instances/"));
  }

  private static void awaitReady(Instance instance) throws IOException {
    long until = System.nanoTime() + 20_000_000_000L;
    while (System.nanoTime() < until) {
      if (isReady(instance)) {
        return;
      }
      Worker.sleep(50);
    }
    throw new IOException(instance.name() + " did not become ready");
  }

  static boolean isReady(Instance instance) {
    try (Socket socket = new Socket()) {
      socket.connect(instance.readiness(), 500);
      socket.setSoTimeout(1_000);
      Http.write(
          socket,
          Http.request(
              "GET", "/buckthornferry/readiness", Map.of("Host", "ready"), new byte[0]));
      return Http.readResponse(new BufferedInputStream(socket.getInputStream())).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends one request on a new channel and returns the response. */
  static Http.Response send(Instance instance, byte[] request, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(instance.front(), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      Http.write(socket, request);
      return Http.readResponse(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static byte[] body(int bytes) {
    return "x".repeat(bytes).getBytes(StandardCharsets.UTF_8);
  }

  private void endInstances() {
    instances.forEach(Instance::kill);
    if (System.getenv("KEEP_LOGS") != null || !Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("temporary folder is left: " + e.getMessage());
    }
  }

  @Override
  public void close() {
    endInstances();
    record.close();
  }
}
