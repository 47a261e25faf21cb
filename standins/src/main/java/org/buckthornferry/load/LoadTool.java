package org.buckthornferry.load;

import io.netty.channel.EventLoopGroup;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.ConcurrentHistogram;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.util.MonotonicClock;

/**
 * Sends the requests of a scenario at their intended times, whether or not earlier ones have been
 * answered, so that a slow system cannot slow the load.
 */
public final class LoadTool {
  private static final int PRECISION_DIGITS = 3;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final long PROGRESS_MILLIS = 1_000;

  private final HttpConnector connector;
  private final EventLoopGroup eventLoops;
  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private final PrintStream progress;

  /**
   * Creates a load tool.
   *
   * @param wallMillis the wall-clock time, for comparison with the logs of the endpoints
   * @param progress gets one line a second
   */
  public LoadTool(
      HttpConnector connector,
      EventLoopGroup eventLoops,
      MonotonicClock clock,
      LongSupplier wallMillis,
      PrintStream progress) {
    this.connector = connector;
    this.eventLoops = eventLoops;
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.progress = progress;
  }

  /**
   * Runs a scenario and returns when every request has an outcome. Blocks the calling thread, which
   * must not be an event loop.
   *
   * @param direct the policy of a run that bypasses the entry instances; empty for a normal run
   */
  public LoadResult run(Scenario scenario, Optional<DirectPolicy> direct) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(scenario.seed());
    List<Arrival> arrivals = ArrivalSchedule.of(scenario, random);
    String mode = direct.map(p -> p.name().toLowerCase(Locale.ROOT)).orElse("entries");
    TargetChooser targets =
        direct.isPresent()
            ? new DirectTargets(direct.get(), scenario, random)
            : new EntryTargets(scenario.targets());
    ConcurrentHistogram betweenTokens = new ConcurrentHistogram(PRECISION_DIGITS);
    final long startMillis = wallMillis.getAsLong();
    LoadContext context =
        new LoadContext(
            mode.charAt(0) + Long.toString(startMillis, Character.MAX_RADIX),
            scenario,
            connector,
            eventLoops,
            clock,
            wallMillis,
            targets,
            betweenTokens);
    StandInQueries standIns = new StandInQueries(connector, scenario);
    final PrefillCount prefillBefore = standIns.prefill();
    RunProgress run = new RunProgress(arrivals.size(), mode, progress);
    send(context, arrivals, run);
    run.awaitAll(longestWaitMillis(scenario));
    return new LoadResult(
        scenario,
        mode,
        new History(
            run.records(), standIns.logsSince(startMillis), standIns.executions(), List.of()),
        micros(betweenTokens),
        standIns.prefill().minus(prefillBefore));
  }

  private void send(LoadContext context, List<Arrival> arrivals, RunProgress run) {
    var ticker =
        eventLoops
            .next()
            .scheduleAtFixedRate(
                run::print, PROGRESS_MILLIS, PROGRESS_MILLIS, TimeUnit.MILLISECONDS);
    new ActionRunner(connector, eventLoops).schedule(context.scenario());
    long startNanos = clock.nanoTime();
    for (Arrival arrival : arrivals) {
      long intendedNanos = startNanos + arrival.intendedNanos();
      waitUntil(intendedNanos);
      new CallerRequest(context, arrival, intendedNanos, run::onEnd).start();
      run.onStart();
    }
    ticker.cancel(false);
  }

  private void waitUntil(long targetNanos) {
    long leftNanos = targetNanos - clock.nanoTime();
    while (leftNanos > 0) {
      LockSupport.parkNanos(leftNanos);
      leftNanos = targetNanos - clock.nanoTime();
    }
  }

  private static long longestWaitMillis(Scenario scenario) {
    long patienceMillis = 0;
    for (RequestClass requestClass : scenario.classes()) {
      patienceMillis = Math.max(patienceMillis, requestClass.patienceMillis());
    }
    long configuredMillis = (long) (scenario.maxTotalWaitSeconds() * PROGRESS_MILLIS);
    return Math.max(configuredMillis, patienceMillis + PROGRESS_MILLIS);
  }

  private static Percentiles micros(ConcurrentHistogram nanos) {
    ConcurrentHistogram micros = new ConcurrentHistogram(PRECISION_DIGITS);
    nanos
        .recordedValues()
        .forEach(
            value ->
                micros.recordValueWithCount(
                    Math.round(value.getValueIteratedTo() / NANOS_PER_MICRO),
                    value.getCountAtValueIteratedTo()));
    return Percentiles.of(micros);
  }

  /** Counts the requests of one run. Safe for concurrent use. */
  private static final class RunProgress {
    private final int planned;
    private final String mode;
    private final PrintStream progress;
    private final List<RequestRecord> records = new ArrayList<>();
    private int started;
    private int good;

    private RunProgress(int planned, String mode, PrintStream progress) {
      this.planned = planned;
      this.mode = mode;
      this.progress = progress;
    }

    synchronized void onStart() {
      started++;
    }

    synchronized void onEnd(RequestRecord newRecord) {
      records.add(newRecord);
      good += newRecord.isGood() ? 1 : 0;
      if (records.size() == planned) {
        notifyAll();
      }
    }

    synchronized void print() {
      progress.printf(
          "load %s: sent %d of %d, ended %d, good %d%n",
          mode, started, planned, records.size(), good);
    }

    synchronized List<RequestRecord> records() {
      return List.copyOf(records);
    }

    synchronized void awaitAll(long maxMillis) {
      long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
      try {
        long leftMillis = maxMillis;
        while (records.size() < planned && leftMillis > 0) {
          wait(leftMillis);
          leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      print();
    }
  }
}
