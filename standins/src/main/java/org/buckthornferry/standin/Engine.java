package org.buckthornferry.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** An engine with its streams, faults and log, without its protocol. Used by one thread. */
final class Engine {
  private static final Logger LOG = Logger.getLogger(Engine.class);
  private static final int MAX_ENDED_STREAMS = 2_000;

  private final EngineSettings settings;
  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private final RandomGenerator random;
  private final FaultSwitch<EngineFaults> faults;
  private final CacheEventLog cacheEvents;
  private final EngineCore core;
  private final LoadReportHistory reports;
  private final Fencing fencing;
  private final RunLog log = new RunLog();
  private final List<OrderLogEntry> orders = new ArrayList<>();
  private final Map<String, EngineRun> streams = new HashMap<>();
  private final List<String> streamOrder = new ArrayList<>();
  private String version;
  private long coldUntilNanos;
  private long downUntilNanos;
  private long leavingSinceMillis;
  private long startId;
  private boolean listening = true;
  private Consumer<Boolean> availability = listen -> {};
  private long dispatched;
  private long dispatchedOfVersion;
  private long refused;
  private long crashes;
  private long coldOverloads;

  Engine(
      EngineSettings settings,
      MonotonicClock clock,
      LongSupplier wallMillis,
      RandomGenerator random,
      FaultSwitch<EngineFaults> faults) {
    this.settings = settings;
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.random = random;
    this.faults = faults;
    this.version = settings.version();
    this.cacheEvents =
        new CacheEventLog(settings.cacheEventDelayMillis(), settings.cacheEventDropShare(), random);
    this.startId = wallMillis.getAsLong();
    long nowNanos = clock.nanoTime();
    this.core =
        new EngineCore(settings, new PrefixCache(settings.cacheTokens(), cacheEvents), nowNanos);
    this.reports = new LoadReportHistory(settings.reportLagMillis());
    this.fencing = new Fencing(settings.checksFencing());
    this.downUntilNanos = nowNanos;
    this.coldUntilNanos = nowNanos + (settings.startsCold() ? coldNanos() : 0);
    takeReport();
  }

  /** Registers who closes the port when the engine fails and opens it when it is back. */
  void onAvailability(Consumer<Boolean> listener) {
    availability = listener;
  }

  boolean isDown() {
    return clock.nanoTime() - downUntilNanos < 0;
  }

  boolean isCold() {
    return clock.nanoTime() - coldUntilNanos < 0;
  }

  /** Returns why the engine does not accept a new request, or empty. */
  Optional<String> refusal() {
    if (faults.current().refuse()) {
      refused++;
      return Optional.of("refused by fault");
    }
    if (core.isFull()) {
      refused++;
      return Optional.of("queue is full");
    }
    return Optional.empty();
  }

  /** Accepts a new request, or fails as a whole when it is cold beyond its bound. */
  EngineRun dispatch(RunSpec spec, String prompt, RunListener listener) {
    int present = (isCold() ? core.presentFromCold() : core.present()) + 1;
    VersionFault fault = faults.current().versionFault();
    boolean faulty = fault.shows(version, spec.path(), dispatchedOfVersion, present);
    EngineRun run =
        new EngineRun(
            spec, start("dispatch", present), faulty ? fault.slowFactor() : 1, RunState.WAITING);
    dispatched++;
    dispatchedOfVersion++;
    run.attach(listener);
    log.add(run);
    remember(run);
    core.add(run);
    if (prompt.contains(settings.crashMarker())) {
      crash();
    } else if (isCold() && present > settings.coldBound()) {
      coldOverloads++;
      crash();
    } else if (faulty && random.nextDouble() < fault.failShare()) {
      endRun(run, RunState.FAILED);
    }
    return run;
  }

  Optional<EngineRun> stream(String requestId) {
    return Optional.ofNullable(streams.get(requestId))
        .filter(run -> !run.state().isEnded() || run.state() == RunState.DONE);
  }

  /** Attaches a caller to a stream and starts it when it was imported. */
  void resume(EngineRun run, long fromOffset, RunListener listener) {
    run.attach(listener);
    if (run.generatedTokens() > fromOffset) {
      listener.onTokens(run, fromOffset, run.generatedTokens());
    }
    if (run.state() == RunState.DONE) {
      listener.onEnd(run);
    } else if (run.state() == RunState.PARKED && !core.contains(run)) {
      core.add(run);
    }
  }

  void detach(EngineRun run, RunListener listener) {
    run.detach(listener, clock.nanoTime());
  }

  /** Ends a stream at the order of the scheduler. */
  boolean cancel(String requestId) {
    EngineRun run = streams.get(requestId);
    if (run == null || run.state().isEnded()) {
      return false;
    }
    endRun(run, run.cancelledState());
    return true;
  }

  /** Returns the KV cache of a stream, or empty when the stream has none. */
  Optional<KvState> exportKv(String requestId) {
    return stream(requestId)
        .filter(run -> run.state() == RunState.DECODE || run.state() == RunState.DONE)
        .map(
            run -> {
              run.markExported();
              return new KvState(run.spec(), run.generatedTokens());
            });
  }

  /** Adds a stream of another engine, which continues when it is resumed. */
  void importKv(KvState state) {
    EngineRun run =
        EngineRun.imported(
            state.run(), start("import", core.present() + 1), state.generatedTokens());
    run.park(clock.nanoTime());
    log.add(run);
    remember(run);
  }

  /** Executes an order and returns whether its fencing number was accepted. */
  boolean execute(Order order, long fencingNumber) {
    boolean accepted = fencing.accept(fencingNumber);
    orders.add(new OrderLogEntry(order, fencingNumber, accepted, wallMillis.getAsLong()));
    if (accepted) {
      apply(order);
    }
    return accepted;
  }

  private void apply(Order order) {
    long nowNanos = clock.nanoTime();
    switch (order.kind()) {
      case "load-version" -> {
        version = order.version();
        dispatchedOfVersion = 0;
        coldUntilNanos = nowNanos + coldNanos();
      }
      case "warm-up" -> coldUntilNanos = nowNanos + Math.max(0, coldUntilNanos - nowNanos) / 2;
      default -> LOG.infof("standin.engine.role.changed role=%s", order.role());
    }
  }

  long highestFencing() {
    return fencing.highest();
  }

  List<OrderLogEntry> orders() {
    return List.copyOf(orders);
  }

  /** Applies the faults that take effect once. */
  void onFaultsSwitched() {
    EngineFaults switched = faults.current();
    faults.update(EngineFaults::withoutTriggers);
    if (switched.goColdMillis() > 0) {
      coldUntilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(switched.goColdMillis());
    }
    if (switched.crash()) {
      crash();
    }
    if (!switched.leaving()) {
      leavingSinceMillis = 0;
    } else if (leavingSinceMillis == 0) {
      leavingSinceMillis = wallMillis.getAsLong();
    }
  }

  /** Does the work since the last tick. */
  void tick() {
    long nowNanos = clock.nanoTime();
    double speed = isCold() ? settings.coldFactor() : 1;
    core.advance(nowNanos, isDown() ? 0 : speed / faults.current().stragglerFactor());
    core.endComplete(wallMillis.getAsLong());
    if (!listening && !isDown()) {
      listening = true;
      availability.accept(true);
    }
    cancelOrphans(nowNanos);
    takeReport();
  }

  LoadReport loadReport() {
    return reports.report(clock.nanoTime());
  }

  List<CacheEvent> cacheEventsAfter(long sequence) {
    return cacheEvents.after(sequence, clock.nanoTime());
  }

  EngineStats stats() {
    return core.stats(dispatched, refused, crashes, coldOverloads);
  }

  EndpointLog log() {
    return new EndpointLog(
        settings.endpointId(),
        settings.failureDomain(),
        settings.coldBound(),
        leavingSinceMillis,
        log.dropped(),
        log.entries());
  }

  boolean truncatesNext() {
    double share = faults.current().truncateShare();
    return share > 0 && random.nextDouble() < share;
  }

  private void crash() {
    crashes++;
    core.endAll(wallMillis.getAsLong());
    streams.clear();
    streamOrder.clear();
    startId = wallMillis.getAsLong() + crashes;
    listening = false;
    availability.accept(false);
    downUntilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.downMillis());
    coldUntilNanos = downUntilNanos + coldNanos();
  }

  private void endRun(EngineRun run, RunState state) {
    core.end(run, state, wallMillis.getAsLong());
  }

  private void cancelOrphans(long nowNanos) {
    long boundNanos = TimeUnit.MILLISECONDS.toNanos(settings.orphanMillis());
    for (Iterator<EngineRun> runs = streams.values().iterator(); runs.hasNext(); ) {
      EngineRun run = runs.next();
      boolean orphan = run.listener().isEmpty() && !run.state().isEnded();
      if (orphan && nowNanos - run.detachedNanos() > boundNanos) {
        runs.remove();
        endRun(run, run.cancelledState());
      }
    }
  }

  private void remember(EngineRun run) {
    String requestId = run.spec().requestId();
    streams.put(requestId, run);
    streamOrder.add(requestId);
    if (streamOrder.size() > MAX_ENDED_STREAMS) {
      forgetEnded();
    }
  }

  private void forgetEnded() {
    List<String> kept = new ArrayList<>();
    int surplus = streamOrder.size() - MAX_ENDED_STREAMS / 2;
    for (String requestId : streamOrder) {
      EngineRun run = streams.get(requestId);
      if (run != null && run.state().isEnded() && surplus > 0) {
        streams.remove(requestId);
        surplus--;
      } else if (run != null) {
        kept.add(requestId);
      }
    }
    streamOrder.clear();
    streamOrder.addAll(kept);
  }

  private RunLogEntry.Start start(String kind, int present) {
    return new RunLogEntry.Start(kind, version, isCold(), present, wallMillis.getAsLong());
  }

  private long coldNanos() {
    return TimeUnit.MILLISECONDS.toNanos(settings.coldMillis());
  }

  private void takeReport() {
    long nowNanos = clock.nanoTime();
    EngineFaults active = faults.current();
    long generated = stats().generatedTokens();
    reports.add(
        nowNanos,
        generated,
        new LoadReport(
            core.running(),
            core.waitingCount(),
            core.queuedPrefillTokens(),
            isCold() && active.coldAnnounced(),
            active.leaving(),
            version,
            reports.tokensPerSecond(nowNanos, generated),
            startId,
            stats().finished(),
            0));
  }
}
