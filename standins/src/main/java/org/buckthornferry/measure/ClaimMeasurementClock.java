package org.buckthornferry.measure;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.buckthornferry.util.MonotonicClock;

/** Virtual time: runs scheduled actions in order without waiting. */
final class ClaimMeasurementClock implements MonotonicClock {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private long nowNanos;
  private long lastNumber;

  private record Event(long atNanos, long number, Runnable action) {}

  @Override
  public long nanoTime() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, ++lastNumber, action));
  }

  void runFor(long durationNanos) {
    long endNanos = nowNanos + durationNanos;
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }
}
