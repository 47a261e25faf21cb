import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A release replaces three workers that never report draining, one each 2.4 s. The store cuts
 * watches that have waited for 0.7 s. Counts requests that reach a removed worker later than
 * drain_ms after the store has confirmed its removal.
 */
final class RemovedWorkerCase {
  private static final String SERVICE = "xano55b";
  private static final long DRAIN_MILLIS = 2_000;
  private static final long CUT_MILLIS = 700;
  private static final long GAP_MILLIS = 2_400;
  private static final long EXIT_MILLIS = 4_000;
  private static final long TRAFFIC_MILLIS = 16_000;
  private static final long SEND_EVERY_MILLIS = 20;
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

  private record Sent(String id, long sentNanos, String outcome) {}

  private RemovedWorkerCase() {}

  public static void main(String[] args) {
    Bed.play(args[0], RemovedWorkerCase::run);
  }

  private static int run(Bed bed) throws Exception {
    List<Worker.Run> runs = Worker.newRuns();
    List<Worker> old = new ArrayList<>();
    bed.store.put("op/config", CONFIG);
    for (String zone : List.of("recife-a", "fortaleza-b", "natal-c")) {
      old.add(register(bed, zone, runs));
    }
    bed.startInstances(3);
    if (bed.hasTrouble) {
      bed.store.cutWaitingWatchesAfter(CUT_MILLIS);
    }
    List<Sent> sent = new ArrayList<>();
    Thread traffic = new Thread(() -> sendRequests(bed, sent));
    traffic.start();
    Worker.sleep(4_000);
    Map<String, Long> removedNanos = new HashMap<>();
    for (Worker worker : old) {
      register(bed, "recife-a", runs);
      Worker.sleep(GAP_MILLIS / 2);
      bed.store.remove(worker.key());
      removedNanos.put(worker.id(), System.nanoTime());
      bed.note("removed worker=%s", worker.id());
      Http.daemon(() -> exitLater(bed, worker));
      Worker.sleep(GAP_MILLIS / 2);
    }
    traffic.join();
    Worker.sleep(1_500);
    return judge(bed, runs, sent, removedNanos);
  }

  private static Worker register(Bed bed, String zone, List<Worker.Run> runs) throws IOException {
    Worker worker = new Worker(new Worker.Spec(SERVICE, zone, 6, false, 30, 0, 0), runs);
    bed.store.put(worker.key(), worker.entry());
    bed.note("registered worker=%s zone=%s", worker.id(), zone);
    return worker;
  }

  /** A worker that leaves goes on for drain_ms and a little longer, and then exits. */
  private static void exitLater(Bed bed, Worker worker) {
    Worker.sleep(EXIT_MILLIS);
    try {
      worker.exit();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    bed.note("exited worker=%s", worker.id());
  }

  private static void sendRequests(Bed bed, List<Sent> sent) {
    AtomicInteger number = new AtomicInteger();
    long until = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000;
    while (System.nanoTime() < until) {
      int count = number.incrementAndGet();
      Instance instance = bed.instances.get(count % bed.instances.size());
      Http.daemon(() -> sendOne(instance, "a%06x".formatted(count), sent));
      Worker.sleep(SEND_EVERY_MILLIS);
    }
  }

  private static void sendOne(Instance instance, String id, List<Sent> sent) {
    byte[] request =
        Http.request(
            "POST",
            "/registro/" + id,
            Http.fields(
                "Host", "cuti.example",
                "Api-Key", "k1",
                "X-Buckthornferry-Attempt-Id", id,
                "X-Buckthornferry-Time-Budget-Ms", "2500"),
            Bed.body(600));
    long sentNanos = System.nanoTime();
    String outcome;
    try {
      outcome = String.valueOf(Bed.send(instance, request, 3_000).status());
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    synchronized (sent) {
      sent.add(new Sent(id, sentNanos, instance.name() + " " + outcome));
    }
  }

  private static long lost(List<Sent> sent) {
    return sent.stream().filter(one -> !one.outcome.endsWith(" 200")).count();
  }

  private static int judge(
      Bed bed, List<Worker.Run> runs, List<Sent> sent, Map<String, Long> removedNanos) {
    synchronized (sent) {
      sent.forEach(
          one -> bed.note("sent id=%s at=%.1f %s", one.id, bed.millis(one.sentNanos), one.outcome));
    }
    int late = 0;
    double latestMillis = 0;
    synchronized (runs) {
      for (Worker.Run run : runs) {
        Long removed = removedNanos.get(run.worker);
        double afterMillis = removed == null ? 0 : (run.arrivedNanos - removed) / 1e6;
        boolean isLate = afterMillis > DRAIN_MILLIS;
        late += isLate ? 1 : 0;
        latestMillis = Math.max(latestMillis, afterMillis);
        bed.note(
            "run id=%s worker=%s at=%.1f%s",
            run.id,
            run.worker,
            bed.millis(run.arrivedNanos),
            isLate ? " LATE afterRemovalMillis=%.0f".formatted(afterMillis) : "");
      }
    }
    bed.result(
        "DRAIN: sent=%d run=%d cutWatches=%d lateRequests=%d latestAfterRemovalMillis=%.0f"
            + " notAnswered200=%d",
        sent.size(), runs.size(), bed.store.cutWatches(), late, latestMillis, lost(sent));
    if (runs.isEmpty()) {
      return Bed.COULD_NOT_RUN;
    }
    return late > 0 ? Bed.BROKEN : Bed.HELD;
  }
}
