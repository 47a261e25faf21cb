package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class EngineCoreTest {
  /** Guards against tokens that are lost, repeated or prefilled twice, for any batch and steps. */
  @Property(seed = "1", tries = 200)
  void everyTokenIsAccountedForOnce(
      @ForAll @IntRange(min = 1, max = 5) int maxBatch,
      @ForAll @IntRange(min = 1, max = 12) int requests,
      @ForAll @LongRange(min = 0, max = 3_000) long cacheTokens,
      @ForAll long seed) {
    RandomGenerator random = StandInContext.random(seed);
    CacheEventLog events = new CacheEventLog(0, 0, random);
    PrefixCache cache = new PrefixCache(cacheTokens, events);
    EngineCore core = new EngineCore(Engines.settings(maxBatch, cacheTokens, false), cache, 0);
    List<EngineRun> runs = new ArrayList<>();
    List<Engines.Recorder> recorders = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      String prompt = "shared ".repeat(random.nextInt(200)) + "request " + i;
      RunSpec spec =
          Engines.spec("r" + i, prompt, random.nextLong(1, 500), random.nextLong(1, 100));
      EngineRun run =
          new EngineRun(
              spec, new RunLogEntry.Start("dispatch", "v1", false, 1, 0), 1, RunState.WAITING);
      Engines.Recorder recorder = new Engines.Recorder();
      run.attach(recorder);
      runs.add(run);
      recorders.add(recorder);
      core.add(run);
    }
    long nowNanos = 0;
    while (core.present() > 0) {
      nowNanos += random.nextLong(1, TimeUnit.MILLISECONDS.toNanos(50));
      core.advance(nowNanos, 1);
      assertThat(core.running()).isAtMost(maxBatch);
      core.endComplete(0);
    }
    long prefilled = 0;
    for (int i = 0; i < requests; i++) {
      RunLogEntry entry = runs.get(i).toLogEntry();
      assertThat(entry.outcome()).isEqualTo("done");
      assertThat(recorders.get(i).offsets)
          .containsExactlyElementsIn(LongStream.range(0, entry.generatedTokens()).boxed().toList())
          .inOrder();
      assertThat(entry.generatedTokens()).isEqualTo(runs.get(i).spec().maxTokens());
      assertThat(entry.prefillTokens() + entry.cachedTokens()).isEqualTo(entry.promptTokens());
      prefilled += entry.prefillTokens();
    }
    EngineStats stats = core.stats(requests, 0, 0, 0);
    assertThat(Math.abs(stats.prefillTokens() - prefilled)).isAtMost(requests);
    assertThat(stats.wastedPrefillTokens()).isEqualTo(0);
    assertThat(stats.maxRunning()).isAtMost(maxBatch);
    assertThat(cache.heldTokens()).isAtMost(cacheTokens);
  }

  /** Guards against an engine that works faster than its configured speed. */
  @Property(seed = "2", tries = 50)
  void prefillNeverExceedsTheSpeed(@ForAll @LongRange(min = 1, max = 5_000) long millis) {
    PrefixCache cache = new PrefixCache(0, new CacheEventLog(0, 0, StandInContext.random(1)));
    EngineCore core = new EngineCore(Engines.settings(4, 0, false), cache, 0);
    for (int i = 0; i < 8; i++) {
      core.add(
          new EngineRun(
              Engines.spec("r" + i, "p" + i, 2_000, 1_000),
              new RunLogEntry.Start("dispatch", "v1", false, 1, 0),
              1,
              RunState.WAITING));
    }
    core.advance(TimeUnit.MILLISECONDS.toNanos(millis), 1);
    assertThat(core.stats(8, 0, 0, 0).prefillTokens()).isAtMost(millis);
    assertThat(core.running()).isAtMost(4);
  }
}
