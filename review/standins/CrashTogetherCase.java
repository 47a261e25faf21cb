import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Five users of a tenant ask for the same summary at the same moment, and again some seconds later.
 * The request crashes each worker that begins to run it; workers are back after two seconds. Counts
 * how often it reaches workers later than contact_ms after it has crashed the third, and the other
 * requests that were lost with the workers.
 */
final class CrashTogetherCase {
  private static final String SERVICE = "dele69a";
  private static final int USERS = 5;
  private static final int ENGINES = 8;
  private static final int ROUNDS = 5;
  private static final long ROUND_MILLIS = 5_000;
  private static final long BACK_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long SOUND_EVERY_MILLIS = 60;
  private static final String DEADLY_PATH = "/resumo/today";
  private static final int PERMITTED_RETRIES = 3;
  private static final String CONFIG =
      """
      {"version":3,"routes":[
        {"name":"resumo","host":"wuny.example","path_prefix":"/resumo/","kind":"streaming",
         "timeout_ms":6000,"latency_goal_ms":1500,"gap_aim_ms":500,"priority":1,
         "service":"dele69a","max_attempts":1,"public":false,"resumable":false,"sticky":true}],
       "services":[{"name":"dele69a","max_conns":370,"health_path":"/health","warmup_s":3,
         "cold_per_s":5.2,"engine":{"hold_ms":2000,"kv_token_capacity":409143}}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
        "idle_timeout_ms":15000},
       "tenants":[{"name":"hule930","api_keys":["k1"],"priority":0,"rate_per_s":0,"burst":0}]}
      """;

  private final Bed bed;
  private final List<Worker.Run> runs = Worker.newRuns();
  private final List<Long> crashNanos = new CopyOnWriteArrayList<>();
  private final Map<String, String> outcomes = new TreeMap<>();
  private volatile boolean isOver;

  private CrashTogetherCase(Bed bed) {
    this.bed = bed;
  }

  public static void main(String[] args) {
    Bed.play(args[0], bed -> new CrashTogetherCase(bed).run());
  }

  private int run() throws Exception {
    bed.store.put("op/config", CONFIG);
    String[] zones = {"recife-a", "fortaleza-b", "natal-c"};
    for (int i = 0; i < ENGINES; i++) {
      startWorker(zones[i % zones.length]);
    }
    bed.startInstances(3);
    Worker.sleep(1_000);
    Http.daemon(this::sendSoundRequests);
    Worker.sleep(1_000);
    for (int round = 0; round < ROUNDS; round++) {
      bed.note("round %d", round);
      for (int user = 0; user < USERS; user++) {
        Instance instance = bed.instances.get(user % bed.instances.size());
        String id = "r%du%d".formatted(round, user);
        Http.daemon(() -> send(instance, id, DEADLY_PATH));
      }
      Worker.sleep(ROUND_MILLIS);
    }
    isOver = true;
    Worker.sleep(1_500);
    return judge();
  }

  private void startWorker(String zone) throws IOException {
    Worker.Spec spec = new Worker.Spec(SERVICE, zone, 4, true, 30, 13, 40);
    Worker worker = new Worker(spec, runs);
    if (bed.hasTrouble) {
      worker.crashOnRun(DEADLY_PATH, () -> onCrash(worker, zone));
    }
    bed.store.put(worker.key(), worker.entry());
    bed.note("registered worker=%s", worker.id());
  }

  private void onCrash(Worker worker, String zone) {
    crashNanos.add(System.nanoTime());
    bed.note("crashed worker=%s", worker.id());
    Http.daemon(
        () -> {
          Worker.sleep(BACK_MILLIS);
          bed.store.remove(worker.key());
          try {
            startWorker(zone);
          } catch (IOException e) {
            bed.note("worker not started: %s", e);
          }
        });
  }

  /** Other users ask for summaries of their own. */
  private void sendSoundRequests() {
    for (int i = 0; !isOver; i++) {
      Instance instance = bed.instances.get(i % bed.instances.size());
      String id = "sound%05d".formatted(i);
      Http.daemon(() -> send(instance, id, "/resumo/" + id));
      Worker.sleep(SOUND_EVERY_MILLIS);
    }
  }

  private void send(Instance instance, String id, String path) {
    byte[] request =
        Http.request(
            "POST",
            path,
            Http.fields(
                "Host", "wuny.example",
                "Api-Key", "k1",
                "X-Buckthornferry-Attempt-Id", id,
                "X-Buckthornferry-Model", "m",
                "X-Buckthornferry-Token-Counts", "2890,13",
                "X-Buckthornferry-Prompt-Prefix", "5c1e07a2:60," + Integer.toHexString(path.hashCode()) + ":2830",
                "X-Buckthornferry-Time-Budget-Ms", "6000"),
            Bed.body(9_200));
    String outcome;
    try {
      Http.Response response = Bed.send(instance, request, 7_000);
      outcome = response.status() + (response.isWhole() ? "" : " cut");
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    synchronized (outcomes) {
      outcomes.put(id, instance.name() + " " + outcome);
    }
  }

  private int judge() {
    List<Long> crashes = new ArrayList<>(crashNanos);
    crashes.sort(null);
    long thirdNanos = crashes.size() < 3 ? Long.MAX_VALUE : crashes.get(2);
    int late = 0;
    synchronized (runs) {
      for (Worker.Run run : runs) {
        boolean isLate =
            crashes.size() >= 3
                && !run.id.startsWith("sound")
                && run.arrivedNanos - thirdNanos > CONTACT_MILLIS * 1_000_000;
        late += isLate ? 1 : 0;
        bed.note(
            "run id=%s worker=%s at=%.1f%s",
            run.id, run.worker, bed.millis(run.arrivedNanos), isLate ? " LATE" : "");
      }
    }
    int soundLost = 0;
    synchronized (outcomes) {
      for (Map.Entry<String, String> one : outcomes.entrySet()) {
        bed.note("sent id=%s %s", one.getKey(), one.getValue());
        boolean isLost = one.getValue().endsWith(" cut") || one.getValue().endsWith(" 502");
        soundLost += one.getKey().startsWith("sound") && isLost ? 1 : 0;
      }
    }
    bed.result(
        "BUDGET: sent=%d run=%d crashes=%d retriesLaterThanContactAfterTheThirdCrash=%d"
            + " soundRequestsLost=%d",
        outcomes.size(), runs.size(), crashes.size(), late, soundLost);
    if (runs.isEmpty()) {
      return Bed.COULD_NOT_RUN;
    }
    return late > PERMITTED_RETRIES ? Bed.BROKEN : Bed.HELD;
  }
}
