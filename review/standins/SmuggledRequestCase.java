import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Requesters send requests whose bodies hold the text of another request. Counts the inner requests
 * that workers run, although no requester has sent them.
 */
final class SmuggledRequestCase {
  private static final int REQUESTS = 10;
  private static final int READ_MILLIS = 600;
  private static final String CONFIG =
      """
      {"version":3,"routes":[
        {"name":"registro","host":"cuti.example","path_prefix":"/registro/",
         "kind":"non_idempotent","timeout_ms":1200,"latency_goal_ms":150,"priority":2,
         "service":"xano55b","max_attempts":1,"public":false}],
       "services":[{"name":"xano55b","max_conns":110,"health_path":"/health"}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"hule930","api_keys":["k1"],"priority":0,"rate_per_s":0,"burst":0}]}
      """;

  /** How the outer request states that it has a body. */
  private enum Form {
    /** A length alone, as usual. */
    LENGTH("Content-Length: %d\r\n"),
    /** A length, and an expectation that the instance does not know. */
    EXPECTATION("Content-Length: %d\r\nExpect: receipt\r\n"),
    /** A transfer coding that does not delimit the body. */
    CODING("Transfer-Encoding: gzip\r\n");

    private final String fields;

    Form(String fields) {
      this.fields = fields;
    }
  }

  private final Bed bed;
  private final List<String> lines = new ArrayList<>();

  private SmuggledRequestCase(Bed bed) {
    this.bed = bed;
  }

  public static void main(String[] args) {
    Bed.play(args[0], bed -> new SmuggledRequestCase(bed).run());
  }

  private int run() throws Exception {
    List<Worker.Run> runs = Worker.newRuns();
    bed.store.put("op/config", CONFIG);
    for (String zone : List.of("recife-a", "fortaleza-b", "natal-c")) {
      Worker worker = new Worker(new Worker.Spec("xano55b", zone, 6, false, 30, 0, 0), runs);
      bed.store.put(worker.key(), worker.entry());
    }
    bed.startInstances(2);
    List<Form> forms =
        bed.hasTrouble ? List.of(Form.EXPECTATION, Form.CODING) : List.of(Form.LENGTH);
    for (Form form : forms) {
      for (int i = 0; i < REQUESTS; i++) {
        send(bed.instances.get(i % bed.instances.size()), form, i);
      }
    }
    Worker.sleep(500);
    return judge(runs, forms);
  }

  private static String head(String id) {
    return "POST /registro/" + id + " HTTP/1.1\r\nHost: cuti.example\r\nApi-Key: k1\r\n"
        + "X-Buckthornferry-Attempt-Id: " + id + "\r\nX-Buckthornferry-Time-Budget-Ms: 2500\r\n";
  }

  private void send(Instance instance, Form form, int number) {
    String suffix = form.name().toLowerCase(java.util.Locale.ROOT) + "-" + number;
    String body = head("inner-" + suffix) + "Content-Length: 0\r\n\r\n";
    String request =
        head("outer-" + suffix) + form.fields.formatted(body.length()) + "\r\n" + body;
    StringBuilder answers = new StringBuilder();
    try (Socket socket = new Socket()) {
      socket.connect(instance.front(), 1_000);
      socket.setSoTimeout(READ_MILLIS);
      Http.write(socket, request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.Response response = Http.readResponse(input);
        String id = response.header("X-Buckthornferry-Attempt-Id");
        answers.append(" ").append(response.status()).append("(").append(id).append(")");
      }
    } catch (IOException e) {
      lines.add("sent id=outer-%s answers:%s".formatted(suffix, answers));
    }
  }

  private int judge(List<Worker.Run> runs, List<Form> forms) {
    lines.forEach(line -> bed.note("%s", line));
    int smuggled = 0;
    int outer = 0;
    synchronized (runs) {
      for (Worker.Run run : runs) {
        boolean isInner = run.id.startsWith("inner-");
        smuggled += isInner ? 1 : 0;
        outer += isInner ? 0 : 1;
        bed.note("run id=%s worker=%s%s", run.id, run.worker, isInner ? " SMUGGLED" : "");
      }
      for (Form form : forms) {
        String name = "inner-" + form.name().toLowerCase(java.util.Locale.ROOT);
        long count = runs.stream().filter(run -> run.id.startsWith(name)).count();
        bed.result("UNASKED: form=%s sent=%d smuggledRequestsRun=%d", form, REQUESTS, count);
      }
    }
    bed.result("UNASKED: outerRun=%d smuggledRequestsRun=%d", outer, smuggled);
    return smuggled > 0 ? Bed.BROKEN : Bed.HELD;
  }
}
