import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker answers before it has read a long body, and its answer ends with its channel. In some
 * answers the channel is reset after a part of the body. Counts callers that get such a part as a
 * complete success.
 */
final class ResetAnswerCase {
  private static final int REQUESTS = 12;
  private static final int REQUEST_BYTES = 4_190_000;
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
  private static final long RESET_MILLIS = 100;
  private static final long WORK_MILLIS = 300;
  private static final int PART_BYTES = 400;
  private static final int WHOLE_BYTES = 800;
  private static final String CONFIG =
      """
      {"version":3,"routes":[
        {"name":"consulta","host":"cuti.example","path_prefix":"/consulta/",
         "kind":"idempotent","timeout_ms":10000,"latency_goal_ms":1000,"priority":2,
         "service":"xano55b","max_attempts":1,"public":false}],
       "services":[{"name":"xano55b","max_conns":110,"health_path":"/health"}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"hule930","api_keys":["k1"],"priority":0,"rate_per_s":0,"burst":0}]}
      """;

  private static final String ENTRY =
      """
      {"service":"xano55b","address":"127.0.0.1:%d","zone":"recife-a","version":"1",
       "capacity":6,"state":"ready","cold_left_ms":0,"sequence":1,"born":1700000000000}""";

  private final Bed bed;
  private final Map<String, Integer> answeredBytes = new ConcurrentHashMap<>();

  private ResetAnswerCase(Bed bed) {
    this.bed = bed;
  }

  public static void main(String[] args) {
    Bed.play(args[0], bed -> new ResetAnswerCase(bed).run());
  }

  private int run() throws Exception {
    bed.store.put("op/config", CONFIG);
    EarlyWorker worker = new EarlyWorker();
    Proxy proxy = new Proxy(worker.listener.getLocalPort());
    bed.store.put("servers/i-early", ENTRY.formatted(proxy.listener.getLocalPort()));
    bed.startInstances(1);
    int cutButComplete = 0;
    int whole = 0;
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "e%04x".formatted(i);
      String outcome;
      boolean isComplete = false;
      int bytes = 0;
      try {
        Http.Response response = Bed.send(bed.instances.get(0), request(id), 9_000);
        bytes = response.body().length;
        isComplete = response.status() == 200 && response.isWhole();
        outcome =
            "status=%d complete=%s bytes=%d signature=%s"
                .formatted(
                    response.status(),
                    response.isWhole(),
                    bytes,
                    response.header("X-Buckthornferry-Response-Signature"));
      } catch (IOException e) {
        outcome = e.toString();
      }
      int sentBytes = answeredBytes.getOrDefault(id, -1);
      boolean isCut = isComplete && bytes < WHOLE_BYTES;
      cutButComplete += isCut ? 1 : 0;
      whole += isComplete && bytes == WHOLE_BYTES ? 1 : 0;
      lines.add(
          "id=%s workerSentBytes=%d caller: %s%s"
              .formatted(id, sentBytes, outcome, isCut ? " CUT BUT COMPLETE" : ""));
    }
    lines.forEach(line -> bed.note("%s", line));
    bed.result(
        "MIXED: requests=%d wholeAnswers=%d cutAnswersThatLookComplete=%d",
        REQUESTS, whole, cutButComplete);
    if (answeredBytes.isEmpty()) {
      return Bed.COULD_NOT_RUN;
    }
    return cutButComplete > 0 ? Bed.BROKEN : Bed.HELD;
  }

  private static byte[] request(String id) {
    return Http.request(
        "POST",
        "/consulta/" + id,
        Http.fields(
            "Host", "cuti.example",
            "Api-Key", "k1",
            "X-Buckthornferry-Attempt-Id", id,
            "X-Buckthornferry-Time-Budget-Ms", "9000"),
        Bed.body(REQUEST_BYTES));
  }

  /** Passes bytes between an instance and the worker, and resets channels. */
  private final class Proxy {
    private final ServerSocket listener = new ServerSocket();
    private final int workerPort;

    private Proxy(int workerPort) throws IOException {
      this.workerPort = workerPort;
      listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      listener.bind(new InetSocketAddress("127.0.0.1", 0), 64);
      Http.daemon(() -> acceptAll(listener, this::pass));
    }

    private void pass(Socket caller) throws IOException {
      Socket worker = new Socket();
      worker.setSendBufferSize(RECEIVE_BUFFER_BYTES);
      worker.connect(new InetSocketAddress("127.0.0.1", workerPort), 1_000);
      Http.daemon(() -> copy(caller, worker, () -> {}));
      copy(worker, caller, () -> resetLater(caller));
    }

    /** Resets a channel on the way, after the first bytes of the answer have passed. */
    private void resetLater(Socket caller) {
      if (!bed.hasTrouble) {
        return;
      }
      Worker.sleep(RESET_MILLIS);
      try {
        caller.setSoLinger(true, 0);
        caller.close();
      } catch (IOException e) {
        bed.note("channel not reset: %s", e);
      }
    }

    private static void copy(Socket from, Socket to, Runnable afterFirst) {
      byte[] buffer = new byte[16 << 10];
      boolean isFirst = true;
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          Http.write(to, java.util.Arrays.copyOf(buffer, n));
          if (isFirst) {
            isFirst = false;
            afterFirst.run();
          }
        }
        to.shutdownOutput();
      } catch (IOException e) {
        // Either side has closed its channel.
        return;
      }
    }
  }

  /** Answers as soon as it has read a request's head, and reads the body later. */
  private final class EarlyWorker {
    private final ServerSocket listener = new ServerSocket();

    private EarlyWorker() throws IOException {
      listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      listener.bind(new InetSocketAddress("127.0.0.1", 0), 64);
      Http.daemon(() -> acceptAll(listener, this::serve));
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          head.append((char) socket.getInputStream().read());
        }
        String id = head.toString().split("(?i)X-Buckthornferry-Attempt-Id: ")[1].split("\r")[0];
        String answer =
            "HTTP/1.1 200 OK\r\nX-Buckthornferry-Attempt-Id: " + id
                + "\r\nX-Buckthornferry-Response-Signature: s." + id
                + "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
                + "y".repeat(PART_BYTES);
        Http.write(socket, answer.getBytes(StandardCharsets.ISO_8859_1));
        answeredBytes.put(id, PART_BYTES);
        Worker.sleep(WORK_MILLIS);
        Http.write(
            socket, "y".repeat(WHOLE_BYTES - PART_BYTES).getBytes(StandardCharsets.ISO_8859_1));
        answeredBytes.put(id, WHOLE_BYTES);
        socket.shutdownOutput();
        socket.getInputStream().skip(Long.MAX_VALUE);
      }
    }
  }

  private interface ChannelUser {
    void use(Socket socket) throws IOException;
  }

  private static void acceptAll(ServerSocket listener, ChannelUser user) {
    while (true) {
      Socket socket;
      try {
        socket = listener.accept();
      } catch (IOException e) {
        return;
      }
      Http.daemon(
          () -> {
            try {
              user.use(socket);
            } catch (IOException e) {
              // The other side has closed the channel.
              return;
            }
          });
    }
  }
}
