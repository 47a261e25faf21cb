import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import reviewkit.Config;
import reviewkit.Instance;
import reviewkit.Requester;
import reviewkit.Run;
import reviewkit.Wire;
import reviewkit.Worker;

/**
 * A customer sends 7.5 times its rate for 6.5 seconds, then its rate. All instances are killed once
 * and start again. In no window may more of its tokens arrive than the rule permits.
 */
public final class CheckAllowance {
  private static final int INSTANCES = 3;
  private static final int TOKENS = 4_000;
  private static final long RATE = 47_000;
  private static final long BURST = 65_520;
  private static final double WINDOW_SECONDS = 8;
  private static final double LIMIT = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 190_000;

  private static final int REQUESTERS = 24;

  /** The customer's requests per second, by its rate and at 7.5 times its rate. */
  private static final double USUAL_PER_SECOND = RATE / (double) TOKENS;

  private static final double HOT_PER_SECOND = 7.5 * USUAL_PER_SECOND;
  private static final double HOT_SECONDS = 6.5;
  private static final double TRAFFIC_SECONDS = 12;
  private static final long KILL_MILLIS = 1_500;

  /** From the kill to the new start. */
  private static final long DOWN_MILLIS = 300;

  /** The owner of the allowance grants beyond the rate only when it has run for a window. */
  private static final long WARM_UP_MILLIS = 11_000;

  private record Arrival(double seconds, int tokens) {}

  private static final List<Arrival> arrivals = new ArrayList<>();
  private static final long startNanos = System.nanoTime();

  public static void main(String[] args) throws IOException {
    Run.main(Path.of(args[0]), CheckAllowance::run);
  }

  private static double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private static boolean run(Run run) throws Exception {
    for (int i = 0; i < 12; i++) {
      new Worker(
          run.store(), "i-" + i, "records", "zone-" + i % 3, 6, CheckAllowance::answer);
    }
    run.store()
        .put(
            "op/config",
            Config.config(
                1,
                Config.route("/lookup/", "idempotent", "records", 1_200, 150),
                Config.service("records"),
                RATE,
                BURST));
    List<Instance> instances = run.startInstances(INSTANCES);
    Run.sleep(WARM_UP_MILLIS);
    double begin = now();
    run.log("the customer begins to send 7.5 times its rate");
    List<Thread> threads = new ArrayList<>();
    AtomicInteger refused = new AtomicInteger();
    for (int i = 0; i < REQUESTERS; i++) {
      Instance instance = instances.get(i % INSTANCES);
      int number = i;
      Thread thread = new Thread(() -> ask(instance, begin, number, refused));
      thread.start();
      threads.add(thread);
    }
    Run.sleep(KILL_MILLIS);
    if (Run.isTroubled()) {
      run.log("SIGKILL to all instances");
      instances.forEach(Instance::kill);
      Run.sleep(DOWN_MILLIS);
      for (Instance instance : instances) {
        instance.start();
      }
      for (Instance instance : instances) {
        run.log(instance.name() + " is ready again: " + instance.awaitReady(10_000));
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
    run.log(refused.get() + " requests were answered 429");
    return isWithinLimit(run, begin);
  }

  private static synchronized boolean isWithinLimit(Run run, double begin) {
    arrivals.sort(Comparator.comparingDouble(Arrival::seconds));
    double most = 0;
    double at = 0;
    double sum = 0;
    int first = 0;
    for (Arrival arrival : arrivals) {
      sum += arrival.tokens;
      while (arrivals.get(first).seconds <= arrival.seconds - WINDOW_SECONDS) {
        sum -= arrivals.get(first).tokens;
        first++;
      }
      if (sum > most) {
        most = sum;
        at = arrival.seconds;
      }
    }
    for (int second = 0; second < 13; second++) {
      double from = begin + second;
      int tokens =
          arrivals.stream()
              .filter(arrival -> arrival.seconds >= from && arrival.seconds < from + 1)
              .mapToInt(Arrival::tokens)
              .sum();
      run.log("second " + second + ": " + tokens + " tokens arrived");
    }
    run.log(
        String.format(
            "most in a window: %.0f tokens, until second %.1f; the limit is %.0f",
            most, at - begin, LIMIT));
    return most <= LIMIT;
  }

  private static boolean answer(Wire.Head head, byte[] body, OutputStream output)
      throws IOException {
    String tenant = head.header("X-Buckthornferry-Tenant");
    if (tenant.equals("hule930")) {
      synchronized (CheckAllowance.class) {
        arrivals.add(new Arrival(now(), TOKENS));
      }
    }
    Run.sleep(20);
    Wire.write(output, Worker.okHead(head, 100) + "x".repeat(100));
    return true;
  }

  /** Returns when a request is sent, in seconds after the beginning. */
  private static double sendSeconds(int number) {
    double hotRequests = HOT_SECONDS * HOT_PER_SECOND;
    return number < hotRequests
        ? number / HOT_PER_SECOND
        : HOT_SECONDS + (number - hotRequests) / USUAL_PER_SECOND;
  }

  /** Sends each request of one requester at its time, whatever becomes of the earlier ones. */
  private static void ask(Instance instance, double begin, int first, AtomicInteger refused) {
    int number = first;
    while (sendSeconds(number) < TRAFFIC_SECONDS) {
      try (Requester requester = new Requester(instance.front())) {
        while (sendSeconds(number) < TRAFFIC_SECONDS) {
          Run.sleep((long) Math.max(0, 1_000 * (begin + sendSeconds(number) - now())));
          number += REQUESTERS;
          requester.send(
              "GET",
              "/lookup/x",
              Requester.newId(),
              Config.KEY,
              1_200,
              new byte[0],
              Map.of("X-Buckthornferry-Token-Counts", "3900,100"));
          if (requester.read(2_500).status() == 429) {
            refused.incrementAndGet();
          }
        }
      } catch (IOException e) {
        // The instance does not run; what was due meanwhile is not sent later.
        while (begin + sendSeconds(number) < now()) {
          number += REQUESTERS;
        }
        Run.sleep(20);
      }
    }
  }
}
