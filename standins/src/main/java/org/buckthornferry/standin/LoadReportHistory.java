package org.buckthornferry.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/** Delivers load reports with a lag and measures the decode speed. Used by one thread. */
final class LoadReportHistory {
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final long lagNanos;
  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(long takenNanos, long generatedTokens, LoadReport report) {}

  LoadReportHistory(long lagMillis) {
    this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
  }

  /** Returns the tokens generated per second since about one second ago. */
  double tokensPerSecond(long nowNanos, long generatedTokens) {
    for (Sample sample : samples) {
      long ageNanos = nowNanos - sample.takenNanos;
      if (ageNanos <= WINDOW_NANOS && ageNanos > 0) {
        return (generatedTokens - sample.generatedTokens) * NANOS_PER_SECOND / ageNanos;
      }
    }
    return 0;
  }

  void add(long nowNanos, long generatedTokens, LoadReport report) {
    samples.addLast(new Sample(nowNanos, generatedTokens, report));
    long keptNanos = lagNanos + WINDOW_NANOS;
    while (nowNanos - samples.getFirst().takenNanos > keptNanos) {
      samples.removeFirst();
    }
  }

  /** Returns the newest report that is at least as old as the lag, or the oldest one. */
  LoadReport report(long nowNanos) {
    Iterator<Sample> newestFirst = samples.descendingIterator();
    while (newestFirst.hasNext()) {
      Sample sample = newestFirst.next();
      if (nowNanos - sample.takenNanos >= lagNanos) {
        return aged(sample, nowNanos);
      }
    }
    return aged(samples.getFirst(), nowNanos);
  }

  private static LoadReport aged(Sample sample, long nowNanos) {
    return sample.report.withAge(TimeUnit.NANOSECONDS.toMillis(nowNanos - sample.takenNanos));
  }
}
