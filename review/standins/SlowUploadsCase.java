import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Many users send long bodies, within the limit of the configuration, over slow links at the same
 * time. Counts requests, small ones of other users among them, that have no answer half a second
 * after their route's timeout_ms.
 */
final class SlowUploadsCase {
  private static final int UPLOADS = 12;
  private static final int USUAL_UPLOADS = 6;
  private static final int UPLOAD_BYTES = 4_000_000;
  private static final int UPLOAD_BYTES_PER_SECOND = 1_000_000;
  private static final int PIECE_BYTES = 20_000;
  private static final long TRAFFIC_MILLIS = 25_000;
  private static final long SMALL_EVERY_MILLIS = 50;
  private static final int SMALL_TIMEOUT_MILLIS = 1_200;
  private static final int LARGE_TIMEOUT_MILLIS = 10_000;
  private static final int HALF_SECOND_MILLIS = 500;
  private static final int EIGHT = 8;
  private static final String CONFIG =
      """
      {"version":3,"routes":[
        {"name":"consulta","host":"cuti.example","path_prefix":"/consulta/",
         "kind":"idempotent","timeout_ms":1200,"latency_goal_ms":150,"priority":2,
         "service":"xano55b","max_attempts":2,"public":false},
        {"name":"envio","host":"cuti.example","path_prefix":"/envio/",
         "kind":"idempotent","timeout_ms":10000,"latency_goal_ms":2000,"priority":2,
         "service":"xano55b","max_attempts":2,"public":false}],
       "services":[{"name":"xano55b","max_conns":110,"health_path":"/health"}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"hule930","api_keys":["k1"],"priority":0,"rate_per_s":0,"burst":0}]}
      """;

  /** A request; {@code sentNanos} is the time of its last byte. */
  private record Sent(
      String id, int routeTimeoutMillis, long sentNanos, long answeredNanos, String outcome) {
    /** Returns whether it was not answered within so long after the route's timeout. */
    private boolean isUnanswered(int afterMillis) {
      long limitNanos = sentNanos + (routeTimeoutMillis + afterMillis) * 1_000_000L;
      return answeredNanos == 0 || answeredNanos - limitNanos > 0;
    }
  }

  private final Bed bed;
  private final List<Sent> sent = new ArrayList<>();

  private SlowUploadsCase(Bed bed) {
    this.bed = bed;
  }

  public static void main(String[] args) {
    Bed.play(args[0], bed -> new SlowUploadsCase(bed).run());
  }

  private int run() throws Exception {
    List<Worker.Run> runs = Worker.newRuns();
    bed.store.put("op/config", CONFIG);
    for (String zone : List.of("recife-a", "fortaleza-b", "natal-c")) {
      Worker worker = new Worker(new Worker.Spec("xano55b", zone, 6, false, 30, 0, 0), runs);
      bed.store.put(worker.key(), worker.entry());
    }
    bed.startInstances(1);
    List<Thread> threads = new ArrayList<>();
    long until = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000;
    int uploads = bed.hasTrouble ? UPLOADS : USUAL_UPLOADS;
    for (int i = 0; System.nanoTime() < until; i++) {
      String id = "s%05x".formatted(i);
      threads.add(start(() -> send(id, "/consulta/", SMALL_TIMEOUT_MILLIS, 300)));
      // Uploads begin within a second, once the small requests have shown that they are served.
      if (i >= 60 && i - 60 < uploads) {
        String upload = "u%05x".formatted(i);
        threads.add(start(() -> send(upload, "/envio/", LARGE_TIMEOUT_MILLIS, UPLOAD_BYTES)));
      }
      Worker.sleep(i >= 60 && i - 60 < uploads ? SMALL_EVERY_MILLIS / 2 : SMALL_EVERY_MILLIS);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return judge(runs);
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(null, task, "requester", 256 << 10);
    thread.start();
    return thread;
  }

  private void send(String id, String path, int routeTimeoutMillis, int bytes) {
    byte[] request =
        Http.request(
            "POST",
            path + id,
            Http.fields(
                "Host", "cuti.example",
                "Api-Key", "k1",
                "X-Buckthornferry-Attempt-Id", id,
                "X-Buckthornferry-Time-Budget-Ms", String.valueOf(2 * routeTimeoutMillis)),
            Bed.body(bytes));
    long sentNanos = System.nanoTime();
    long answeredNanos = 0;
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(bed.instances.get(0).front(), 1_000);
      socket.setTcpNoDelay(true);
      sendPaced(socket, request);
      sentNanos = System.nanoTime();
      socket.setSoTimeout(2 * routeTimeoutMillis);
      Http.Response response =
          Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      answeredNanos = System.nanoTime();
      outcome = String.valueOf(response.status());
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    synchronized (sent) {
      sent.add(new Sent(id, routeTimeoutMillis, sentNanos, answeredNanos, outcome));
    }
  }

  private static void sendPaced(Socket socket, byte[] request) throws IOException {
    long startNanos = System.nanoTime();
    for (int from = 0; from < request.length; from += PIECE_BYTES) {
      int to = Math.min(request.length, from + PIECE_BYTES);
      Http.write(socket, Arrays.copyOfRange(request, from, to));
      long dueMillis = 1_000L * to / UPLOAD_BYTES_PER_SECOND;
      long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
      if (to < request.length && dueMillis > elapsedMillis) {
        Worker.sleep(dueMillis - elapsedMillis);
      }
    }
  }

  private int judge(List<Worker.Run> runs) {
    int unanswered = 0;
    int unansweredLater = 0;
    int noAnswer = 0;
    for (Sent one : sent) {
      if (one.routeTimeoutMillis != SMALL_TIMEOUT_MILLIS) {
        bed.note("upload id=%s at=%.1f outcome=%s", one.id, bed.millis(one.sentNanos), one.outcome);
        continue;
      }
      boolean isUnanswered = one.isUnanswered(0);
      boolean isUnansweredLater = one.isUnanswered(HALF_SECOND_MILLIS);
      unanswered += isUnanswered ? 1 : 0;
      unansweredLater += isUnansweredLater ? 1 : 0;
      noAnswer += one.answeredNanos == 0 ? 1 : 0;
      String took =
          one.answeredNanos == 0
              ? "never"
              : "%.0f ms".formatted((one.answeredNanos - one.sentNanos) / 1e6);
      bed.note(
          "sent id=%s at=%.1f answered=%s outcome=%s%s",
          one.id,
          bed.millis(one.sentNanos),
          took,
          one.outcome,
          isUnansweredLater ? " UNANSWERED" : "");
    }
    synchronized (runs) {
      runs.forEach(run -> bed.note("run id=%s at=%.1f", run.id, bed.millis(run.arrivedNanos)));
    }
    bed.result(
        "CONFIG: sent=%d run=%d neverAnswered=%d unansweredAtTimeout=%d"
            + " unansweredHalfASecondLater=%d processAlive=%s",
        sent.size(),
        runs.size(),
        noAnswer,
        unanswered,
        unansweredLater,
        bed.instances.get(0).process().isAlive());
    if (runs.isEmpty()) {
      return Bed.COULD_NOT_RUN;
    }
    boolean isBroken = unansweredLater >= EIGHT && 2 * unansweredLater > unanswered;
    return isBroken ? Bed.BROKEN : Bed.HELD;
  }
}
