package org.buckthornferry.standin;

import java.util.Optional;

/** One request in an engine. Used by one thread. */
final class EngineRun {
  private final RunSpec spec;
  private final RunLogEntry.Start start;
  private final double slowFactor;
  private RunState state;
  private long cachedTokens;
  private double prefilledTokens;
  private double decodeCredit;
  private long generatedTokens;
  private long endMillis;
  private Optional<RunListener> listener = Optional.empty();
  private long detachedNanos;
  private boolean exported;

  EngineRun(RunSpec spec, RunLogEntry.Start start, double slowFactor, RunState state) {
    this.spec = spec;
    this.start = start;
    this.slowFactor = slowFactor;
    this.state = state;
  }

  /** Returns a run that continues one of another engine. */
  static EngineRun imported(RunSpec spec, RunLogEntry.Start start, long generatedTokens) {
    EngineRun run = new EngineRun(spec, start, 1, RunState.PARKED);
    run.cachedTokens = spec.promptTokens();
    run.generatedTokens = generatedTokens;
    return run;
  }

  RunSpec spec() {
    return spec;
  }

  boolean startedCold() {
    return start.cold();
  }

  RunState state() {
    return state;
  }

  long generatedTokens() {
    return generatedTokens;
  }

  long prefilledTokens() {
    return (long) prefilledTokens;
  }

  double remainingPrefill() {
    return spec.promptTokens() - cachedTokens - prefilledTokens;
  }

  Optional<RunListener> listener() {
    return listener;
  }

  void markExported() {
    exported = true;
  }

  /** Returns the state in which a cancelled run ends. */
  RunState cancelledState() {
    return exported ? RunState.MOVED : RunState.CANCELLED;
  }

  /** Returns since when the run has no listener, in nanoseconds. */
  long detachedNanos() {
    return detachedNanos;
  }

  void attach(RunListener newListener) {
    listener = Optional.of(newListener);
  }

  void detach(RunListener oldListener, long nowNanos) {
    if (listener.isPresent() && listener.get() == oldListener) {
      listener = Optional.empty();
      detachedNanos = nowNanos;
    }
  }

  void admit(long cached) {
    if (state == RunState.WAITING) {
      cachedTokens = Math.min(cached, spec.promptTokens());
      state = RunState.PREFILL;
    } else {
      state = RunState.DECODE;
    }
  }

  void park(long nowNanos) {
    detachedNanos = nowNanos;
  }

  /** Does prefill work and returns the tokens of it, at most {@code budgetTokens}. */
  double prefill(double budgetTokens) {
    double done = Math.min(budgetTokens / slowFactor, remainingPrefill());
    prefilledTokens += done;
    if (remainingPrefill() <= 1e-6) {
      prefilledTokens = spec.promptTokens() - cachedTokens;
      state = RunState.DECODE;
    }
    return done * slowFactor;
  }

  /** Generates the whole tokens that the speed allows. */
  void decode(double tokens) {
    decodeCredit += tokens / slowFactor;
    long whole = Math.min((long) decodeCredit, spec.maxTokens() - generatedTokens);
    if (whole <= 0) {
      return;
    }
    decodeCredit -= whole;
    long from = generatedTokens;
    generatedTokens += whole;
    listener.ifPresent(l -> l.onTokens(this, from, from + whole));
  }

  boolean isComplete() {
    return generatedTokens >= spec.maxTokens();
  }

  void end(RunState endState, long nowMillis) {
    state = endState;
    endMillis = nowMillis;
    listener.ifPresent(l -> l.onEnd(this));
  }

  RunLogEntry toLogEntry() {
    return RunLogEntry.of(
        spec,
        start,
        new RunLogEntry.Progress(
            state.label(), cachedTokens, prefilledTokens(), generatedTokens, endMillis));
  }
}
