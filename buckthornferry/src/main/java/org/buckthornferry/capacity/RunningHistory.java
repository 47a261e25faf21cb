package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Records the recent number of running requests of one endpoint at one holder. Records only while
 * an owner probes, because most endpoints are never probed.
 */
final class RunningHistory {
  /** The maximum round trip of a probe; the owner ignores answers that took longer. */
  static final long MAX_ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** The timing error of a load sample, plus the drift of two clocks over its age. */
  private static final long MAX_TIME_ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * Shorter dips are ignored. Otherwise, on an endpoint that is always full, they would permanently
   * hide that the requests of a dead holder have ended.
   */
  private static final long MAX_IGNORED_DIP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final long RECORDING_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAX_CHANGES = 1_024;

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private boolean recording;
  private long recordUntilNanos;
  private long completeSinceNanos;

  /** The number of running requests from {@code nanos} on. */
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

  /** Returns the minimum around the probed time, or 0 when that time was not recorded. */
  long minRunning(long ageNanos, long running, long nowNanos) {
    if (!recording) {
      recording = true;
      completeSinceNanos = nowNanos;
      changes.addLast(new Change(nowNanos, running));
    }
    recordUntilNanos = nowNanos + RECORDING_NANOS;
    long fromNanos = nowNanos - ageNanos - MAX_ROUND_TRIP_NANOS - MAX_TIME_ERROR_NANOS;
    long toNanos = nowNanos - ageNanos + MAX_TIME_ERROR_NANOS;
    if (fromNanos - completeSinceNanos < 0) {
      return 0;
    }
    long least = running;
    boolean first = true;
    Change previous = null;
    for (Change change : changes) {
      if (previous != null && !isBriefDip(previous, change)) {
        boolean atStart = previous.nanos - fromNanos <= 0;
        if (atStart || previous.nanos - toNanos <= 0) {
          least = first || atStart ? previous.running : Math.min(least, previous.running);
          first = false;
        }
      }
      previous = change;
    }
    boolean lastCounts = previous != null && previous.nanos - toNanos <= 0;
    if (lastCounts) {
      boolean atStart = previous.nanos - fromNanos <= 0;
      least = first || atStart ? previous.running : Math.min(least, previous.running);
    }
    return least;
  }

  /** Returns whether a slot was free too briefly for a load sample to be likely to fall into it. */
  private static boolean isBriefDip(Change change, Change next) {
    return next.running > change.running && next.nanos - change.nanos < MAX_IGNORED_DIP_NANOS;
  }
}
