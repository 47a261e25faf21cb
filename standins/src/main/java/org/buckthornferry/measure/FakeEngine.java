package org.buckthornferry.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.routing.RequestOutcome;

/**
 * An engine with continuous batching: prompts are processed one after the other, streams share the
 * engine, and each further stream slows all others. Requests beyond the batch wait in arrival
 * order. Prefixes of prompts are cached in a bounded memory.
 */
final class FakeEngine {
  static final int BLOCK_TOKENS = 64;
  private static final double NANOS = 1e9;
  private static final double COLD_SPEED = 0.2;
  private static final double OVERLOADED_SPEED = 0.5;
  private static final long POISON_NANOS = 1_000_000_000L;
  private static final int CACHE_BLOCKS = 4_000;

  final EngineSpec spec;
  private final VirtualTime time;
  private final BiConsumer<Work, RequestOutcome> onEnd;
  private final List<Run> batch = new ArrayList<>();
  private final ArrayDeque<Run> queue = new ArrayDeque<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private double speed = 1;
  private boolean cold;
  private boolean down;
  private long startId = 1;
  private long coldSinceNanos;
  private long completedTotal = 1;
  private long advancedNanos;
  private long generation;
  private long computedPrefillTokens;

  private static final class Run {
    final Work work;
    final long startedNanos;
    double prefillLeft;
    double decodeLeft;
    long cachedTokens;
    long firstTokenNanos;
    boolean admitted;

    Run(Work work, long startedNanos) {
      this.work = work;
      this.startedNanos = startedNanos;
      this.decodeLeft = (double) work.decodeTokens();
    }
  }

  FakeEngine(EngineSpec spec, VirtualTime time, BiConsumer<Work, RequestOutcome> onEnd) {
    this.spec = spec;
    this.time = time;
    this.onEnd = onEnd;
  }

  String id() {
    return spec.declaration().id();
  }

  boolean isCold() {
    return cold;
  }

  boolean isDown() {
    return down;
  }

  long computedPrefillTokens() {
    return computedPrefillTokens;
  }

  /** Returns the requests that started after the cold start was a given time old. */
  long startedInColdStart(long graceNanos) {
    long count = 0;
    for (Run run : batch) {
      count += run.startedNanos - coldSinceNanos > graceNanos ? 1 : 0;
    }
    return count;
  }

  long coldSinceNanos() {
    return coldSinceNanos;
  }

  void submit(Work work) {
    if (down) {
      onEnd.accept(work, RequestOutcome.of(RequestOutcome.Kind.REFUSED));
      return;
    }
    advance();
    queue.addLast(new Run(work, time.nowNanos()));
    if (work.poison()) {
      long crashedStart = startId;
      time.at(
          time.nowNanos() + POISON_NANOS,
          () -> {
            if (startId == crashedStart && isRunning(work)) {
              crash(20_000_000_000L, 20_000_000_000L);
            }
          });
    }
    admit();
    reschedule();
  }

  void setSpeed(double newSpeed) {
    advance();
    speed = newSpeed;
    reschedule();
  }

  void startCold(long forNanos) {
    advance();
    cold = true;
    coldSinceNanos = time.nowNanos();
    cache.clear();
    long since = coldSinceNanos;
    time.at(
        coldSinceNanos + forNanos,
        () -> {
          if (coldSinceNanos == since) {
            advance();
            cold = false;
            reschedule();
          }
        });
    reschedule();
  }

  void crash(long downNanos, long coldNanos) {
    advance();
    down = true;
    List<Run> lost = new ArrayList<>(batch);
    lost.addAll(queue);
    batch.clear();
    queue.clear();
    cache.clear();
    reschedule();
    for (Run run : lost) {
      onEnd.accept(run.work, outcome(run, RequestOutcome.Kind.CRASHED));
    }
    time.at(
        time.nowNanos() + downNanos,
        () -> {
          down = false;
          startId++;
          completedTotal = 0;
          startCold(coldNanos);
        });
  }

  LoadReport report() {
    int streams = 0;
    for (Run run : batch) {
      streams += run.prefillLeft <= 0 ? 1 : 0;
    }
    double perToken = streams == 0 ? 0 : NANOS / decodeSpeed(streams);
    int running = batch.size() + queue.size();
    return new LoadReport(
        id(), startId, time.nowNanos(), cold, false, running, completedTotal, perToken);
  }

  private boolean isRunning(Work work) {
    return batch.stream().anyMatch(run -> run.work.equals(work));
  }

  private double factor() {
    double factor = cold ? speed * COLD_SPEED : speed;
    boolean overloaded = cold && batch.size() > spec.declaration().coldConcurrent();
    return overloaded ? factor * OVERLOADED_SPEED : factor;
  }

  private double decodeSpeed(int streams) {
    return spec.decodeTokensPerSecond(streams) * factor();
  }

  private void admit() {
    while (!queue.isEmpty() && batch.size() < spec.declaration().maxConcurrent()) {
      Run run = queue.pollFirst();
      long prompt = run.work.request().promptTokens();
      int blocks = 0;
      for (long hash : run.work.request().prefixHashes()) {
        if (cache.get(hash) == null) {
          break;
        }
        blocks++;
      }
      run.cachedTokens = Math.min(prompt, (long) blocks * BLOCK_TOKENS);
      run.prefillLeft = (double) (prompt - run.cachedTokens);
      computedPrefillTokens += prompt - run.cachedTokens;
      run.admitted = true;
      batch.add(run);
    }
  }

  /** Moves every request forward to the present time. */
  private void advance() {
    double seconds = (time.nowNanos() - advancedNanos) / NANOS;
    advancedNanos = time.nowNanos();
    if (seconds <= 0) {
      return;
    }
    int streams = 0;
    Run prefilling = null;
    for (Run run : batch) {
      if (run.prefillLeft <= 0) {
        streams++;
      } else if (prefilling == null) {
        prefilling = run;
      }
    }
    double decoded = seconds * decodeSpeed(streams);
    for (Run run : batch) {
      if (run.prefillLeft <= 0) {
        run.decodeLeft -= decoded;
      }
    }
    if (prefilling != null) {
      prefilling.prefillLeft -= seconds * spec.prefillTokensPerSecond() * factor();
      if (prefilling.prefillLeft <= 1e-6) {
        prefilling.prefillLeft = 0;
        prefilling.firstTokenNanos = time.nowNanos();
        remember(prefilling);
      }
    }
  }

  private void remember(Run run) {
    for (long hash : run.work.request().prefixHashes()) {
      cache.put(hash, true);
    }
    Iterator<Map.Entry<Long, Boolean>> eldest = cache.entrySet().iterator();
    while (cache.size() > CACHE_BLOCKS) {
      eldest.next();
      eldest.remove();
    }
  }

  private void onEvent(long expectedGeneration) {
    if (generation != expectedGeneration) {
      return;
    }
    advance();
    List<Run> finished = new ArrayList<>();
    for (Iterator<Run> iterator = batch.iterator(); iterator.hasNext(); ) {
      Run run = iterator.next();
      if (run.prefillLeft <= 0 && run.decodeLeft <= 1e-6) {
        iterator.remove();
        finished.add(run);
      }
    }
    completedTotal += finished.size();
    admit();
    reschedule();
    for (Run run : finished) {
      onEnd.accept(run.work, outcome(run, RequestOutcome.Kind.SUCCEEDED));
    }
  }

  private RequestOutcome outcome(Run run, RequestOutcome.Kind kind) {
    boolean first = run.firstTokenNanos > 0;
    long prompt = run.admitted ? run.work.request().promptTokens() : 0;
    return new RequestOutcome(
        kind,
        prompt,
        run.cachedTokens,
        kind == RequestOutcome.Kind.SUCCEEDED ? run.work.decodeTokens() : 0,
        first ? run.firstTokenNanos - run.startedNanos : time.nowNanos() - run.startedNanos,
        time.nowNanos() - run.startedNanos);
  }

  private void reschedule() {
    generation++;
    int streams = 0;
    double nextSeconds = Double.POSITIVE_INFINITY;
    boolean prefilling = false;
    for (Run run : batch) {
      streams += run.prefillLeft <= 0 ? 1 : 0;
      if (run.prefillLeft > 0 && !prefilling) {
        prefilling = true;
        nextSeconds = run.prefillLeft / (spec.prefillTokensPerSecond() * factor());
      }
    }
    double decodeSpeed = decodeSpeed(streams);
    for (Run run : batch) {
      if (run.prefillLeft <= 0) {
        nextSeconds = Math.min(nextSeconds, Math.max(0, run.decodeLeft) / decodeSpeed);
      }
    }
    if (nextSeconds < Double.POSITIVE_INFINITY) {
      long expected = generation;
      long atNanos = time.nowNanos() + 1 + (long) Math.ceil(nextSeconds * NANOS);
      time.at(atNanos, () -> onEvent(expected));
    }
  }
}
