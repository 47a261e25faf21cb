import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A tenant sends more than its allowance while the engines are busy, and its requesters leave a few
 * hundred ms after they have sent. Counts the runs that began or went on half a second after the
 * requester had closed its channel.
 */
final class DepartedCallerCase {
  private static final String SERVICE = "dele69a";
  private static final double HALF_SECOND_MILLIS = 500;
  private static final long TRAFFIC_MILLIS = 30_000;
  private static final int ENGINES = 8;
  private static final int EVENTS = 43;
  private static final long EVENT_GAP_MILLIS = 45;
  private static final int FEW = 3;
  private static final double LEAVE_SHARE = 0.3;
  private static final String CONFIG =
      """
      {"version":3,"routes":[
        {"name":"duvida","host":"volo.example","path_prefix":"/duvida/","kind":"streaming",
         "timeout_ms":12000,"latency_goal_ms":2000,"gap_aim_ms":500,"priority":2,
         "service":"dele69a","max_attempts":2,"public":false,"resumable":true,"sticky":true}],
       "services":[{"name":"dele69a","max_conns":370,"health_path":"/health","warmup_s":3,
         "cold_per_s":5.2,"engine":{"hold_ms":2000,"kv_token_capacity":409143}}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
        "idle_timeout_ms":15000},
       "tenants":[
        {"name":"hule930","api_keys":["k1"],"priority":0,"rate_per_s":6000,"burst":6000,
         "unit":"token","plain_tokens":200},
        {"name":"lohu110","api_keys":["k2"],"priority":0,"rate_per_s":47000,"burst":47000,
         "unit":"token","plain_tokens":200}]}
      """;

  /** One request, and when its requester closed the channel; 0 if it read the whole answer. */
  private record Sent(String id, long sentNanos, long closedNanos, String outcome) {}

  private DepartedCallerCase() {}

  public static void main(String[] args) {
    Bed.play(args[0], DepartedCallerCase::run);
  }

  private static int run(Bed bed) throws Exception {
    List<Worker.Run> runs = Worker.newRuns();
    bed.store.put("op/config", CONFIG);
    String[] zones = {"recife-a", "fortaleza-b", "natal-c"};
    for (int i = 0; i < ENGINES; i++) {
      Worker.Spec spec =
          new Worker.Spec(SERVICE, zones[i % 3], 4, true, 40, EVENTS, EVENT_GAP_MILLIS);
      Worker worker = new Worker(spec, runs);
      bed.store.put(worker.key(), worker.entry());
    }
    bed.startInstances(3);
    // The allowances of instances that have just started are filled only slowly.
    Worker.sleep(3_000);
    List<Sent> sent = new ArrayList<>();
    double leaveShare = bed.hasTrouble ? LEAVE_SHARE : 0;
    Thread steady = new Thread(() -> sendRequests(bed, sent, "k2", 7, 1, 0));
    Thread hot = new Thread(() -> sendRequests(bed, sent, "k1", 50, 2, leaveShare));
    steady.start();
    hot.start();
    steady.join();
    hot.join();
    Worker.sleep(6_000);
    return judge(bed, runs, sent);
  }

  private static void sendRequests(
      Bed bed, List<Sent> sent, String key, int perSecond, long seed, double leaveShare) {
    Random random = new Random(seed);
    long until = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000;
    for (int i = 0; System.nanoTime() < until; i++) {
      Instance instance = bed.instances.get(random.nextInt(bed.instances.size()));
      String id = "%s%05x".formatted(key, i);
      int leaveMillis = random.nextDouble() < leaveShare ? 40 + random.nextInt(210) : 0;
      Http.daemon(() -> sendOne(instance, id, key, leaveMillis, sent));
      Worker.sleep((long) (1_000.0 / perSecond * (0.5 + random.nextDouble())));
    }
  }

  private static void sendOne(
      Instance instance, String id, String key, int leaveMillis, List<Sent> sent) {
    byte[] request =
        Http.request(
            "POST",
            "/duvida/" + id,
            Http.fields(
                "Host", "volo.example",
                "Api-Key", key,
                "X-Buckthornferry-Attempt-Id", id,
                "X-Buckthornferry-Model", "m",
                "X-Buckthornferry-Token-Counts", "1110,43",
                "X-Buckthornferry-Prompt-Prefix", "5c1e07a2:60," + id.substring(2) + ":1050",
                "X-Buckthornferry-Time-Budget-Ms", "12000"),
            Bed.body(1_500));
    long sentNanos = System.nanoTime();
    long closedNanos = 0;
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(instance.front(), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(leaveMillis > 0 ? leaveMillis : 13_000);
      Http.write(socket, request);
      try {
        Http.Response response =
            Http.readResponse(new BufferedInputStream(socket.getInputStream()));
        outcome = response.status() + (response.isWhole() ? "" : " cut");
      } catch (java.net.SocketTimeoutException e) {
        outcome = "left";
        socket.close();
        closedNanos = System.nanoTime();
      }
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    synchronized (sent) {
      sent.add(new Sent(id, sentNanos, closedNanos, outcome));
    }
  }

  private static int judge(Bed bed, List<Worker.Run> runs, List<Sent> sent) {
    Map<String, List<Worker.Run>> byId = new HashMap<>();
    synchronized (runs) {
      runs.forEach(run -> byId.computeIfAbsent(run.id, id -> new ArrayList<>()).add(run));
    }
    double wholeRunMillis = 40 + EVENTS * EVENT_GAP_MILLIS;
    int left = 0;
    int lateArrivals = 0;
    int wouldLast = 0;
    int stillAtWork = 0;
    for (Sent one : sent) {
      StringBuilder story = new StringBuilder();
      left += one.closedNanos > 0 ? 1 : 0;
      for (Worker.Run run : byId.getOrDefault(one.id, List.of())) {
        double beganMillis = (run.arrivedNanos - one.closedNanos) / 1e6;
        double endedMillis = (run.endedNanos - one.closedNanos) / 1e6;
        story.append(" run worker=%s at=%.1f".formatted(run.worker, bed.millis(run.arrivedNanos)));
        if (one.closedNanos > 0) {
          story.append(" fromCloseMillis=%.0f to %.0f".formatted(beganMillis, endedMillis));
          lateArrivals += beganMillis > HALF_SECOND_MILLIS ? 1 : 0;
          wouldLast += beganMillis + wholeRunMillis > HALF_SECOND_MILLIS ? 1 : 0;
          stillAtWork += endedMillis > HALF_SECOND_MILLIS ? 1 : 0;
        }
      }
      bed.note("sent id=%s at=%.1f %s%s", one.id, bed.millis(one.sentNanos), one.outcome, story);
    }
    bed.result(
        "GONE: sent=%d left=%d ranOfThoseThatLeft=%d stillAtWorkHalfASecondLater=%d"
            + " arrivedOverHalfASecondLater=%d",
        sent.size(), left, wouldLast, stillAtWork, lateArrivals);
    if (runs.isEmpty()) {
      return Bed.COULD_NOT_RUN;
    }
    boolean isBroken = lateArrivals > FEW || stillAtWork > Math.max(FEW, wouldLast / 4);
    return isBroken ? Bed.BROKEN : Bed.HELD;
  }
}
