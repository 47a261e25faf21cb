package org.buckthornferry.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The true time as learned from the holder of the usage reports, which takes the median of the wall
 * clocks of the fleet. Based on the monotonic clock, so that a step of this instance's wall clock
 * has no effect.
 */
final class TrueClock {
  /** Replies that are kept; the one with the shortest round trip is the most exact. */
  private static final int SAMPLES = 16;

  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(long offsetMicros, long roundTripNanos) {}

  /**
   * Learns from a reply.
   *
   * @param sentNanos when the call was sent, by the monotonic clock
   * @param receivedNanos when the reply arrived
   * @param trueMillis the true time in the reply
   */
  void onReply(long sentNanos, long receivedNanos, long trueMillis) {
    long middleNanos = sentNanos + (receivedNanos - sentNanos) / 2;
    samples.addLast(
        new Sample(
            TimeUnit.MILLISECONDS.toMicros(trueMillis) - TimeUnit.NANOSECONDS.toMicros(middleNanos),
            receivedNanos - sentNanos));
    if (samples.size() > SAMPLES) {
      samples.removeFirst();
    }
  }

  boolean isKnown() {
    return !samples.isEmpty();
  }

  /** Returns the milliseconds since 1970 in true time at a time of the monotonic clock. */
  OptionalLong millisAt(long nanos) {
    Sample best = null;
    for (Sample sample : samples) {
      if (best == null || sample.roundTripNanos <= best.roundTripNanos) {
        best = sample;
      }
    }
    return best == null
        ? OptionalLong.empty()
        : OptionalLong.of(
            Math.floorDiv(best.offsetMicros + TimeUnit.NANOSECONDS.toMicros(nanos), 1_000L));
  }
}
