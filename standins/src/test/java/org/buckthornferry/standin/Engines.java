package org.buckthornferry.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.buckthornferry.util.MonotonicClock;

/** Settings, requests and fakes for the tests of engines. */
final class Engines {
  private Engines() {}

  static EngineSettings settings(int maxBatch, long cacheTokens, boolean startsCold) {
    return new EngineSettings(
        "e1",
        "kol-a",
        "v1",
        1_000,
        50,
        0.02,
        maxBatch,
        100,
        cacheTokens,
        startsCold,
        1_000,
        0.5,
        2,
        true,
        0,
        0,
        0,
        true,
        "CRASH",
        500,
        1_000);
  }

  static RunSpec spec(String requestId, String prompt, long promptTokens, long maxTokens) {
    return RunSpec.of(
        requestId,
        "/ask",
        "",
        "",
        prompt,
        prompt.getBytes(StandardCharsets.UTF_8),
        promptTokens,
        maxTokens);
  }

  /** A clock that moves only when a test says so. */
  static final class FakeClock implements MonotonicClock {
    private final AtomicLong nowNanos = new AtomicLong();

    void advanceMillis(long millis) {
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Override
    public long nanoTime() {
      return nowNanos.get();
    }
  }

  /** Remembers the offsets that a run generated. */
  static final class Recorder implements RunListener {
    final List<Long> offsets = new ArrayList<>();
    RunState ended;

    @Override
    public void onTokens(EngineRun run, long from, long to) {
      for (long offset = from; offset < to; offset++) {
        offsets.add(offset);
      }
    }

    @Override
    public void onEnd(EngineRun run) {
      ended = run.state();
    }
  }
}
