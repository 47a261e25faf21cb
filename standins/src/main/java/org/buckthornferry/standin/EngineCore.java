package org.buckthornferry.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Simulates an engine with continuous batching: requests join the batch in arrival order, prefill
 * is done one request after the other at the speed of the whole engine, and every stream decodes at
 * a speed that falls with the size of the batch. Time is an argument; used by one thread.
 */
final class EngineCore {
  /** Bounds the error of joining and leaving the batch between two steps. */
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final Deque<EngineRun> waiting = new ArrayDeque<>();
  private final List<EngineRun> batch = new ArrayList<>();
  private long lastNanos;
  private long finished;
  private long cancelled;
  private long failed;
  private long crashed;
  private double prefillTokens;
  private double wastedPrefillTokens;
  private long generatedTokens;
  private int maxRunning;

  EngineCore(EngineSettings settings, PrefixCache cache, long nowNanos) {
    this.settings = settings;
    this.cache = cache;
    this.lastNanos = nowNanos;
  }

  /** Returns the requests in the batch that still need tokens. */
  int running() {
    int running = 0;
    for (EngineRun run : batch) {
      running += run.isComplete() ? 0 : 1;
    }
    return running;
  }

  int waitingCount() {
    return waiting.size();
  }

  int present() {
    return running() + waiting.size();
  }

  /** Returns the requests that arrived in a cold start and are still here. */
  int presentFromCold() {
    int count = 0;
    for (EngineRun run : batch) {
      count += run.startedCold() ? 1 : 0;
    }
    for (EngineRun run : waiting) {
      count += run.startedCold() ? 1 : 0;
    }
    return count;
  }

  boolean isFull() {
    return running() >= settings.maxBatch() && waiting.size() >= settings.maxWaiting();
  }

  long queuedPrefillTokens() {
    double queued = 0;
    for (EngineRun run : batch) {
      queued += Math.max(0, run.remainingPrefill());
    }
    for (EngineRun run : waiting) {
      queued += Math.max(0, run.remainingPrefill());
    }
    return (long) queued;
  }

  boolean contains(EngineRun run) {
    return waiting.contains(run) || batch.contains(run);
  }

  /** Adds a request at the end of the queue. */
  void add(EngineRun run) {
    waiting.addLast(run);
  }

  /** Does the work of the time since the last call. */
  void advance(long nowNanos, double speedFactor) {
    while (lastNanos < nowNanos) {
      long stepNanos = Math.min(STEP_NANOS, nowNanos - lastNanos);
      lastNanos += stepNanos;
      step(stepNanos / NANOS_PER_SECOND * speedFactor);
    }
  }

  /** Ends one request before its last token. */
  void end(EngineRun run, RunState endState, long nowMillis) {
    if (run.state().isEnded()) {
      return;
    }
    waiting.remove(run);
    batch.remove(run);
    count(run, endState);
    run.end(endState, nowMillis);
  }

  /** Ends every request and forgets the cache, as when the engine fails. */
  void endAll(long nowMillis) {
    List<EngineRun> all = new ArrayList<>(batch);
    all.addAll(waiting);
    all.forEach(run -> end(run, RunState.CRASHED, nowMillis));
    cache.clear(lastNanos);
  }

  /** Ends the requests that have generated their last token. */
  void endComplete(long nowMillis) {
    for (Iterator<EngineRun> runs = batch.iterator(); runs.hasNext(); ) {
      EngineRun run = runs.next();
      if (run.isComplete()) {
        runs.remove();
        count(run, RunState.DONE);
        run.end(RunState.DONE, nowMillis);
      }
    }
  }

  EngineStats stats(long dispatched, long refused, long crashes, long coldOverloads) {
    return new EngineStats(
        dispatched,
        refused,
        finished,
        cancelled,
        failed,
        crashed,
        (long) prefillTokens,
        (long) wastedPrefillTokens,
        generatedTokens,
        crashes,
        coldOverloads,
        maxRunning);
  }

  private void step(double seconds) {
    admitWaiting();
    prefill(settings.prefillTokensPerSecond() * seconds);
    decode(settings.decodeTokensPerSecond() * seconds);
  }

  private void admitWaiting() {
    while (!waiting.isEmpty() && running() < settings.maxBatch()) {
      EngineRun run = waiting.removeFirst();
      run.admit(cache.cachedTokens(run.spec().prefixHashes()));
      batch.add(run);
    }
    maxRunning = Math.max(maxRunning, running());
  }

  private void prefill(double budgetTokens) {
    double left = budgetTokens;
    for (EngineRun run : batch) {
      if (run.state() != RunState.PREFILL) {
        continue;
      }
      double before = run.remainingPrefill();
      left -= run.prefill(left);
      prefillTokens += before - run.remainingPrefill();
      if (run.state() == RunState.DECODE) {
        cache.store(run.spec().prefixHashes(), run.spec().tokensPerBlock(), lastNanos);
      }
      if (left <= 0) {
        return;
      }
    }
  }

  private void decode(double tokensAlone) {
    int streams = 0;
    for (EngineRun run : batch) {
      streams += run.state() == RunState.DECODE ? 1 : 0;
    }
    double tokens = tokensAlone / (1 + settings.batchSlowdown() * Math.max(0, streams - 1));
    for (EngineRun run : batch) {
      if (run.state() == RunState.DECODE) {
        long before = run.generatedTokens();
        run.decode(tokens);
        generatedTokens += run.generatedTokens() - before;
      }
    }
  }

  private void count(EngineRun run, RunState endState) {
    switch (endState) {
      case DONE -> finished++;
      case CANCELLED, MOVED -> cancelled++;
      case FAILED -> failed++;
      default -> crashed++;
    }
    if (endState != RunState.DONE && endState != RunState.MOVED) {
      wastedPrefillTokens += run.prefilledTokens();
    }
  }
}
