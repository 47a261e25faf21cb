package org.buckthornferry.endpoint;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The load of one endpoint: its latest load report, which arrives with a delay, corrected by the
 * requests that this instance has started and finished since the report was taken.
 */
final class LoadTracker {
  /** How long changes are kept; any report that is still useful includes older ones. */
  private static final long CHANGE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private int localRunning;
  private int reportedRunning;
  private long reportedNanos;
  private boolean hasReport;
  private int deltaSinceReport;

  private record Change(long atNanos, int delta) {}

  void onStarted(long nowNanos) {
    localRunning++;
    addChange(nowNanos, 1);
  }

  void onFinished(long nowNanos) {
    localRunning--;
    addChange(nowNanos, -1);
  }

  void onReport(int running, long observedNanos) {
    if (hasReport && observedNanos - reportedNanos <= 0) {
      return;
    }
    hasReport = true;
    reportedRunning = running;
    reportedNanos = observedNanos;
    while (!changes.isEmpty() && changes.peekFirst().atNanos - observedNanos <= 0) {
      removeOldest();
    }
  }

  /** Returns the number of requests of this instance that run on the endpoint. */
  int localRunning() {
    return localRunning;
  }

  /** Returns the estimated number of requests, of all instances, that run on the endpoint. */
  int running() {
    return hasReport ? Math.max(localRunning, reportedRunning + deltaSinceReport) : localRunning;
  }

  private void addChange(long nowNanos, int delta) {
    changes.addLast(new Change(nowNanos, delta));
    deltaSinceReport += delta;
    while (nowNanos - changes.peekFirst().atNanos > CHANGE_RETENTION_NANOS) {
      removeOldest();
    }
  }

  private void removeOldest() {
    deltaSinceReport -= changes.removeFirst().delta;
  }
}
