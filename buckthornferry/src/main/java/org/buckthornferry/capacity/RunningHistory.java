package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The recent numbers of running requests of one endpoint at one holder. Recorded only while an
 * owner probes, because most endpoints are never probed.
 */
final class RunningHistory {
  /** A probe may have travelled this long; its owner ignores an answer that took longer. */
  static final long MAX_ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** The error of the time of a load sample, and of two clocks over its age. */
  private static final long TIME_ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * Dips this short are left out: on an endpoint that is always full they would hide, for good,
   * that the requests of a dead holder have ended.
   */
  private static final long BRIEF_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final long RECORD_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAX_CHANGES = 1_024;

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private boolean recording;
  private long recordUntilNanos;
  private long completeSinceNanos;

  /** A number of running requests that holds from {@code nanos} on. */
  private record Change(long nanos, long running) {}

  void record(long running, long nowNanos) {
    if (!recording) {
      return;
    }
    if (nowNanos - recordUntilNanos > 0) {
      recording = false;
      changes.clear();
      return;
    }
    changes.addLast(new Change(nowNanos, running));
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
      completeSinceNanos = changes.peekFirst().nanos();
    }
  }

  /** Returns the least number around the probed time, or 0 when that is not recorded. */
  long lowWater(long ageNanos, long running, long nowNanos) {
    if (!recording) {
      recording = true;
      completeSinceNanos = nowNanos;
      changes.addLast(new Change(nowNanos, running));
    }
    recordUntilNanos = nowNanos + RECORD_NANOS;
    long fromNanos = nowNanos - ageNanos - MAX_ROUND_TRIP_NANOS - TIME_ERROR_NANOS;
    long toNanos = nowNanos - ageNanos + TIME_ERROR_NANOS;
    if (fromNanos - completeSinceNanos < 0) {
      return 0;
    }
    long low = running;
    boolean first = true;
    Change previous = null;
    for (Change change : changes) {
      if (previous != null && !isBriefDip(previous, change)) {
        boolean atStart = previous.nanos - fromNanos <= 0;
        if (atStart || previous.nanos - toNanos <= 0) {
          low = first || atStart ? previous.running : Math.min(low, previous.running);
          first = false;
        }
      }
      previous = change;
    }
    boolean lastCounts = previous != null && previous.nanos - toNanos <= 0;
    if (lastCounts) {
      boolean atStart = previous.nanos - fromNanos <= 0;
      low = first || atStart ? previous.running : Math.min(low, previous.running);
    }
    return low;
  }

  /** Returns whether a slot was free so briefly that a load sample hardly falls into the time. */
  private static boolean isBriefDip(Change change, Change next) {
    return next.running > change.running && next.nanos - change.nanos < BRIEF_NANOS;
  }
}
