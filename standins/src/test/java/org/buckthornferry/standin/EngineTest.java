package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineTest {
  private final Engines.FakeClock clock = new Engines.FakeClock();
  private final FaultSwitch<EngineFaults> faults =
      new FaultSwitch<>(EngineFaults.class, EngineFaults.none(true));

  /** Guards against a failed engine that keeps streams or comes back warm. */
  @Test
  void crashMarkerDropsAllStreamsAndComesBackCold() {
    Engine engine = engine(false);
    List<Boolean> listening = new ArrayList<>();
    engine.onAvailability(listening::add);
    final long startId = engine.loadReport().startId();
    Engines.Recorder other = dispatch(engine, "r1", "fine");
    Engines.Recorder marked = dispatch(engine, "r2", "do CRASH now");
    assertThat(other.ended).isEqualTo(RunState.CRASHED);
    assertThat(marked.ended).isEqualTo(RunState.CRASHED);
    assertThat(engine.isDown()).isTrue();
    clock.advanceMillis(600);
    assertThat(engine.isDown()).isFalse();
    assertThat(engine.isCold()).isTrue();
    assertThat(engine.stream("r1")).isEmpty();
    engine.tick();
    assertThat(listening).containsExactly(false, true).inOrder();
    assertThat(engine.loadReport().startId()).isNotEqualTo(startId);
  }

  /** Guards against a cold engine that takes any load, which would hide a broken P4. */
  @Test
  void coldEngineFailsAboveItsBound() {
    Engine engine = engine(true);
    dispatch(engine, "r1", "a");
    Engines.Recorder second = dispatch(engine, "r2", "b");
    assertThat(engine.stats().coldOverloads()).isEqualTo(0);
    dispatch(engine, "r3", "c");
    assertThat(second.ended).isEqualTo(RunState.CRASHED);
    assertThat(engine.stats().coldOverloads()).isEqualTo(1);
  }

  /** Guards against a moved stream that repeats or skips tokens, or counts as wasted prefill. */
  @Test
  void movedStreamContinuesAtItsOffsetWithoutWaste() {
    Engine source = engine(false);
    Engines.Recorder before = dispatch(source, "r1", "move me");
    run(source, 500);
    KvState state = source.exportKv("r1").orElseThrow();
    source.cancel("r1");
    assertThat(before.ended).isEqualTo(RunState.MOVED);
    assertThat(source.stats().wastedPrefillTokens()).isEqualTo(0);

    Engine target = engine(false);
    Engines.Recorder after = new Engines.Recorder();
    target.importKv(state);
    target.resume(target.stream("r1").orElseThrow(), state.generatedTokens(), after);
    run(target, 5_000);
    assertThat(after.ended).isEqualTo(RunState.DONE);
    assertThat(after.offsets.get(0)).isEqualTo(state.generatedTokens());
    assertThat(before.offsets.size() + after.offsets.size()).isEqualTo(40);
    assertThat(target.stats().prefillTokens()).isEqualTo(0);
  }

  /** Guards against prefill of cancelled requests that does not count as wasted. */
  @Test
  void cancelledPrefillIsWasted() {
    Engine engine = engine(false);
    dispatch(engine, "r1", "cancel me");
    run(engine, 400);
    assertThat(engine.cancel("r1")).isTrue();
    assertThat(engine.stats().wastedPrefillTokens()).isEqualTo(100);
    assertThat(engine.cancel("r1")).isFalse();
  }

  /** Guards against a version fault that shows too early or on other versions. */
  @Test
  void versionFaultShowsAfterItsRequestsOnly() {
    Engine engine = engine(false);
    merge("{\"versionFault\":{\"version\":\"v1\",\"failShare\":1,\"afterRequests\":1}}");
    assertThat(dispatch(engine, "r1", "a").ended).isNull();
    assertThat(dispatch(engine, "r2", "b").ended).isEqualTo(RunState.FAILED);
    merge("{\"versionFault\":{\"version\":\"v2\"}}");
    assertThat(dispatch(engine, "r3", "c").ended).isNull();
  }

  /** Guards against an engine that executes the order of an owner that lost its shard. */
  @Test
  void oldFencingNumberIsRefused() {
    Engine engine = engine(false);
    Order load = new Order("load-version", "v2", null);
    assertThat(engine.execute(load, 7)).isTrue();
    assertThat(engine.execute(new Order("load-version", "v1", null), 6)).isFalse();
    run(engine, 10);
    assertThat(engine.loadReport().version()).isEqualTo("v2");
  }

  /** Guards against a stream without a caller that holds its place in the batch forever. */
  @Test
  void orphanIsCancelledAfterItsTime() {
    Engine engine = engine(false);
    Engines.Recorder recorder = dispatch(engine, "r1", "orphan");
    engine.detach(engine.stream("r1").orElseThrow(), recorder);
    merge("{\"stragglerFactor\":100}");
    run(engine, 900);
    assertThat(engine.stream("r1")).isPresent();
    run(engine, 200);
    assertThat(engine.stream("r1")).isEmpty();
    assertThat(engine.stats().cancelled()).isEqualTo(1);
  }

  private Engine engine(boolean cold) {
    return new Engine(
        Engines.settings(4, 0, cold), clock, () -> 0, StandInContext.random(1), faults);
  }

  private static Engines.Recorder dispatch(Engine engine, String requestId, String prompt) {
    Engines.Recorder recorder = new Engines.Recorder();
    engine.dispatch(Engines.spec(requestId, prompt, 100, 40), prompt, recorder);
    return recorder;
  }

  private void run(Engine engine, long millis) {
    for (long done = 0; done < millis; done += 10) {
      clock.advanceMillis(10);
      engine.tick();
    }
  }

  private void merge(String json) {
    faults.merge(json.getBytes(StandardCharsets.UTF_8));
  }
}
