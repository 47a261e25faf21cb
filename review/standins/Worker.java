import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a worker: a plain service, or an engine that streams events and reserves slots. It
 * drops a request when a write to its channel fails.
 */
final class Worker {
  /** Describes what a worker serves. */
  record Spec(
      String service, String zone, int capacity, boolean isEngine, long workMillis, int events,
      long eventGapMillis) {}

  /** One request that reached a worker and was not turned away. */
  static final class Run {
    final String id;
    final String worker;
    final long arrivedNanos = System.nanoTime();
    volatile long endedNanos;
    volatile boolean wasCut;

    private Run(String id, String worker) {
      this.id = id;
      this.worker = worker;
    }
  }

  private static final AtomicLong IDS = new AtomicLong(0x5a10);

  private final String id = "i-" + Long.toHexString(IDS.incrementAndGet() * 0x9e3779b1L);
  private final long born = System.currentTimeMillis();
  private final Spec spec;
  private final Http.Server server;
  private final List<Run> runs;
  private final Set<String> holds = ConcurrentHashMap.newKeySet();
  private volatile Runnable onCrash;
  private volatile String deadlyPath = "";
  private int occupied;
  private long nextHold = 1;

  /** Starts a worker that adds its runs to {@code runs}, a list that all workers share. */
  Worker(Spec spec, List<Run> runs) throws IOException {
    this.spec = spec;
    this.runs = runs;
    this.server = new Http.Server(this::handle);
  }

  String id() {
    return id;
  }

  String key() {
    return "servers/" + id;
  }

  /** Returns the entry with which the worker registers itself. */
  String entry() {
    return """
        {"service":"%s","address":"%s","zone":"%s","version":"1","capacity":%d,"state":"ready",
         "cold_left_ms":0,"sequence":1,"born":%d,"id":"%s"}"""
        .formatted(spec.service, server.address(), spec.zone, spec.capacity, born, id);
  }

  /** Makes the worker crash when it begins to run a request with a path. */
  void crashOnRun(String path, Runnable listener) {
    deadlyPath = path;
    onCrash = listener;
  }

  private void crash() throws IOException {
    Runnable listener = onCrash;
    onCrash = null;
    exit();
    if (listener != null) {
      listener.run();
    }
    throw new IOException("crashed");
  }

  void exit() throws IOException {
    server.exit();
  }

  private synchronized boolean takeSlot() {
    if (occupied >= spec.capacity) {
      return false;
    }
    occupied++;
    return true;
  }

  private synchronized void freeSlot() {
    occupied--;
  }

  private boolean handle(Http.Request request, Socket socket) throws IOException {
    if (request.path().equals("/buckthornferry/hold-take")) {
      return takeHold(socket);
    }
    if (request.path().startsWith("/buckthornferry/hold-drop/")) {
      String hold = request.path().substring(request.path().lastIndexOf('/') + 1);
      dropHold(hold);
      return Http.respondJson(socket, 200, "{}");
    }
    String attempt = request.header("X-Buckthornferry-Attempt-Id");
    String expected = request.header("X-Buckthornferry-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      return turnAway(socket, 421, attempt);
    }
    String hold = request.header("X-Buckthornferry-Hold");
    boolean isHeld = hold != null && holds.remove(hold);
    if (!isHeld && !takeSlot()) {
      return turnAway(socket, 503, attempt);
    }
    Run run = new Run(attempt, id);
    synchronized (runs) {
      runs.add(run);
    }
    try {
      boolean isDeadly = request.path().equals(deadlyPath);
      return spec.events > 0 ? stream(run, isDeadly, socket) : answer(run, socket);
    } catch (IOException e) {
      run.wasCut = true;
      throw e;
    } finally {
      run.endedNanos = System.nanoTime();
      freeSlot();
    }
  }

  private boolean takeHold(Socket socket) throws IOException {
    if (!spec.isEngine) {
      return Http.respondJson(socket, 404, "{}");
    }
    if (!takeSlot()) {
      return Http.respondJson(socket, 503, "{}");
    }
    String hold;
    synchronized (this) {
      hold = "h" + nextHold++;
    }
    holds.add(hold);
    Http.daemon(
        () -> {
          sleep(2_000);
          dropHold(hold);
        });
    return Http.respondJson(socket, 200, "{\"hold\":\"" + hold + "\"}");
  }

  private void dropHold(String hold) {
    if (holds.remove(hold)) {
      freeSlot();
    }
  }

  private static boolean turnAway(Socket socket, int status, String attempt) throws IOException {
    return Http.respond(
        socket,
        status,
        Http.fields(
            "X-Buckthornferry-Not-Executed", "1",
            "X-Buckthornferry-Attempt-Id", String.valueOf(attempt)),
        new byte[0]);
  }

  private Map<String, String> fields(Run run) {
    return Http.fields(
        "X-Buckthornferry-Attempt-Id", String.valueOf(run.id),
        "X-Buckthornferry-Response-Signature", id + "." + run.id);
  }

  private boolean answer(Run run, Socket socket) throws IOException {
    sleep(spec.workMillis);
    return Http.respond(
        socket, 200, fields(run), ("done " + run.id).getBytes(StandardCharsets.UTF_8));
  }

  private boolean stream(Run run, boolean isDeadly, Socket socket) throws IOException {
    sleep(spec.workMillis);
    if (isDeadly) {
      crash();
    }
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    fields(run).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    Http.write(socket, head.toString().getBytes(StandardCharsets.ISO_8859_1));
    for (int event = 1; event <= spec.events; event++) {
      byte[] bytes =
          ("id: " + event + "\ndata: " + run.id + "\n\n").getBytes(StandardCharsets.UTF_8);
      String size = Integer.toHexString(bytes.length) + "\r\n";
      Http.write(
          socket,
          (size + new String(bytes, StandardCharsets.UTF_8) + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      sleep(spec.eventGapMillis);
    }
    Http.write(socket, "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  static List<Run> newRuns() {
    return new ArrayList<>();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
