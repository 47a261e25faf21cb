package org.buckthornferry.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import org.buckthornferry.util.MonotonicClock;

/**
 * Counts the runs of callers' requests that began at endpoints. Each counts at most once, on the
 * instance to which the caller sent the request.
 *
 * <ul>
 *   <li>A stream counts when its first event arrives, a plain request at the time of the head of
 *       its complete, successful response.
 *   <li>A <em>moved</em> run, a stream that another endpoint continues, counts once, when the first
 *       endpoint began. A request with which a caller continues an earlier stream does not count.
 *   <li>A <em>repeated</em> run, sent again because an endpoint failed, counts once, when an
 *       endpoint first began. A caller's retry is another request.
 *   <li>A <em>refused</em> run, to which an endpoint or this product answered that it was not run,
 *       does not count.
 *   <li>An <em>unanswered</em> run, whose endpoint failed or fell silent before the first event or
 *       within a plain response, does not count, also if the endpoint began to run it.
 * </ul>
 *
 * <p>The times of the runs are kept, because the offset of this instance's clock, and with it the
 * window of a run, may become known later. Used by one thread.
 */
public final class UsageCounter {
  /** Runs that are kept; at 1,000 a second the last 30 s. Further ones drop the oldest. */
  private static final int MAX_RUNS = 30_000;

  private final long retentionNanos;
  private final MonotonicClock clock;
  private final Deque<Run> runs = new ArrayDeque<>();
  private long completeSinceNanos;

  private record Run(String customerName, long beganNanos) {}

  /**
   * Creates a counter without runs.
   *
   * @param retentionMillis how long a run is kept; 0 to count nothing
   */
  public UsageCounter(long retentionMillis, MonotonicClock clock) {
    this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    this.clock = clock;
    this.completeSinceNanos = clock.nanoTime();
  }

  /**
   * Counts a run.
   *
   * @param beganNanos when it began, by this counter's clock
   */
  public void onRunBegan(String customerName, long beganNanos) {
    if (retentionNanos == 0) {
      return;
    }
    dropOld();
    if (runs.size() == MAX_RUNS) {
      completeSinceNanos = runs.removeFirst().beganNanos + 1;
    }
    runs.addLast(new Run(customerName, beganNanos));
  }

  /** Returns the time of the local clock since which no run is missing. */
  long completeSinceNanos() {
    return completeSinceNanos;
  }

  /**
   * Returns the kept runs by window and customer.
   *
   * @param windowAtNanos returns the window of a time
   */
  SortedMap<Long, Map<String, Long>> counts(LongUnaryOperator windowAtNanos) {
    dropOld();
    TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();
    for (Run run : runs) {
      counts
          .computeIfAbsent(windowAtNanos.applyAsLong(run.beganNanos), window -> new TreeMap<>())
          .merge(run.customerName, 1L, Long::sum);
    }
    return counts;
  }

  private void dropOld() {
    long beforeNanos = clock.nanoTime() - retentionNanos;
    while (!runs.isEmpty() && runs.peekFirst().beganNanos - beforeNanos < 0) {
      runs.removeFirst();
    }
  }
}
