package org.buckthornferry.endpoint;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The load of one endpoint, from a load report that is late, corrected with the requests that this
 * instance started and finished since the report was taken.
 */
final class LoadTracker {
  /** Changes are remembered this long; older ones are in any report that is still of use. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private int own;
  private int reported;
  private long reportedNanos;
  private boolean hasReport;
  private int sinceReport;

  private record Change(long atNanos, int difference) {}

  void onStarted(long nowNanos) {
    own++;
    change(nowNanos, 1);
  }

  void onFinished(long nowNanos) {
    own--;
    change(nowNanos, -1);
  }

  void onReport(int running, long observedNanos) {
    if (hasReport && observedNanos - reportedNanos <= 0) {
      return;
    }
    hasReport = true;
    reported = running;
    reportedNanos = observedNanos;
    while (!changes.isEmpty() && changes.peekFirst().atNanos - observedNanos <= 0) {
      forgetFirst();
    }
  }

  /** Returns the requests of this instance that run on the endpoint. */
  int own() {
    return own;
  }

  /** Returns the estimated requests of all instances that run on the endpoint. */
  int running() {
    return hasReport ? Math.max(own, reported + sinceReport) : own;
  }

  private void change(long nowNanos, int difference) {
    changes.addLast(new Change(nowNanos, difference));
    sinceReport += difference;
    while (nowNanos - changes.peekFirst().atNanos > MEMORY_NANOS) {
      forgetFirst();
    }
  }

  private void forgetFirst() {
    sinceReport -= changes.removeFirst().difference;
  }
}
