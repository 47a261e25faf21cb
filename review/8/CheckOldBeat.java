import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import reviewkit.Config;
import reviewkit.Instance;
import reviewkit.Requester;
import reviewkit.Run;
import reviewkit.Wire;
import reviewkit.Worker;

/**
 * A worker reports that it leaves. One of its earlier heartbeats got no answer and is executed 2.6 s
 * after that report. No request may reach it later than drain_ms after the report.
 */
public final class CheckOldBeat {
  private static final int REQUESTERS = 12;
  private static final long DRAIN_MILLIS = 2_000;

  /** The store executes the write so long after its arrival; 1 to 6 s are permitted. */
  private static final long LATE_MILLIS = 5_900;

  /** From the lost answer to the report; the store is stable after 3 s without impairment. */
  private static final long STABLE_MILLIS = 3_300;

  /** How long the worker goes on serving after its report. */
  private static final long LINGER_MILLIS = 6_000;

  private static final List<Double> arrivals = new ArrayList<>();
  private static final long startNanos = System.nanoTime();
  private static volatile boolean isOver;

  public static void main(String[] args) throws IOException {
    Run.main(Path.of(args[0]), CheckOldBeat::run);
  }

  private static double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private static boolean run(Run run) throws Exception {
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      workers.add(
          new Worker(
              run.store(),
              "i-" + i,
              "records",
              "zone-" + i,
              6,
              (head, body, output) -> answer(workers.get(number), number == 0, head, output)));
    }
    run.store()
        .put(
            "op/config",
            Config.config(
                1,
                Config.route("/lookup/", "idempotent", "records", 1_200, 150),
                Config.service("records"),
                0,
                0));
    List<Instance> instances = run.startInstances(3);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger others = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTERS; i++) {
      Instance instance = instances.get(i % instances.size());
      Thread thread = new Thread(() -> ask(instance, served, others));
      thread.start();
      threads.add(thread);
    }
    Run.sleep(2_000);
    Worker leaving = workers.get(0);
    if (Run.isTroubled()) {
      leaving.beatLate(LATE_MILLIS);
      run.log("the store does not answer a heartbeat of " + leaving.id());
    }
    Run.sleep(STABLE_MILLIS);
    leaving.drain();
    double reported = now();
    run.log(leaving.id() + " has reported that it leaves");
    Run.sleep(LINGER_MILLIS);
    isOver = true;
    for (Thread thread : threads) {
      thread.join();
    }
    run.log(served.get() + " requests were served, " + others.get() + " were not");
    return isDrained(run, reported);
  }

  private static synchronized boolean isDrained(Run run, double reported) {
    int late = 0;
    for (double at : arrivals) {
      if (at > reported + DRAIN_MILLIS / 1e3) {
        late++;
        run.log("a request reached the worker %.3f s after its report".formatted(at - reported));
      }
    }
    run.log(late + " requests reached the worker too late");
    return late == 0;
  }

  private static boolean answer(
      Worker worker, boolean isObserved, Wire.Head head, OutputStream output) throws IOException {
    if (isObserved) {
      synchronized (CheckOldBeat.class) {
        arrivals.add(now());
      }
    }
    Run.sleep(40);
    String answer = Worker.okHead(head, 800) + "x".repeat(800);
    Wire.write(output, answer.replaceFirst("\r\n", "\r\n" + worker.leavingField()));
    return true;
  }

  private static void ask(Instance instance, AtomicInteger served, AtomicInteger others) {
    while (!isOver) {
      try (Requester requester = new Requester(instance.front())) {
        while (!isOver) {
          requester.send("GET", "/lookup/x", Requester.newId(), Config.KEY, 2_500, new byte[0]);
          boolean isServed = requester.read(2_500).status() == 200;
          (isServed ? served : others).incrementAndGet();
          Run.sleep(200);
        }
      } catch (IOException e) {
        others.incrementAndGet();
        Run.sleep(50);
      }
    }
  }
}
