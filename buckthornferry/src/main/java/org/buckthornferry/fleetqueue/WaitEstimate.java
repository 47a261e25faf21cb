package org.buckthornferry.fleetqueue;

import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.dispatch.SlidingWindowSum;

/**
 * Estimates the wait of a request from the rate at which slots become free and the recent rate of
 * more urgent arrivals.
 */
final class WaitEstimate {
  /** The window of the rates, in milliseconds. */
  private static final long RATE_WINDOW_MILLIS = 2_000;

  /** The weight of a new sample in the mean run time; about fifty runs determine it. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** The minimum share of the start rate that is assumed to remain for a request. */
  private static final double MIN_RATE_SHARE = 0.15;

  private final Map<Level, SlidingWindowSum> admitted = new TreeMap<>();
  private final SlidingWindowSum starts = new SlidingWindowSum(RATE_WINDOW_MILLIS);
  private double runMillis;

  private record Level(int customerPriority, double level) implements Comparable<Level> {
    static Level of(QueuePosition position) {
      return new Level(position.customerPriority(), position.level());
    }

    @Override
    public int compareTo(Level other) {
      int byCustomer = Integer.compare(customerPriority, other.customerPriority);
      return byCustomer != 0 ? byCustomer : Double.compare(level, other.level);
    }
  }

  void onAdmitted(QueuePosition position, long nowNanos) {
    admitted
        .computeIfAbsent(Level.of(position), level -> new SlidingWindowSum(RATE_WINDOW_MILLIS))
        .add(1, nowNanos);
  }

  void onStarted(long nowNanos) {
    starts.add(1, nowNanos);
  }

  /** Records how long a request has occupied a slot. */
  void onEnded(double millis) {
    runMillis = runMillis == 0 ? millis : runMillis + SAMPLE_WEIGHT * (millis - runMillis);
  }

  /**
   * Returns the expected wait of a request; 0 when none is ahead, or before the first run has
   * ended.
   *
   * @param ahead the number of waiting requests that precede it
   * @param slots the number of slots that can be used
   */
  double expectedMillis(QueuePosition position, int ahead, int slots, long nowNanos) {
    if (ahead == 0 || runMillis == 0) {
      return 0;
    }
    Level own = Level.of(position);
    // The recent starts are few when requests begin to wait only now.
    double startRate = Math.max(starts.sum(nowNanos) / RATE_WINDOW_MILLIS, slots / runMillis);
    double precedingRate = 0;
    for (Map.Entry<Level, SlidingWindowSum> entry : admitted.entrySet()) {
      if (entry.getKey().compareTo(own) < 0) {
        precedingRate += entry.getValue().sum(nowNanos) / RATE_WINDOW_MILLIS;
      }
    }
    double remainingRate = Math.max(startRate - precedingRate, MIN_RATE_SHARE * startRate);
    return remainingRate <= 0 ? 0 : ahead / remainingRate;
  }
}
