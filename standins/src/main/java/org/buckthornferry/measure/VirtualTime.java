package org.buckthornferry.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual time; equal times in the order of scheduling. */
final class VirtualTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private long nowNanos;
  private long sequence;

  private record Event(long atNanos, long sequence, Runnable action) {}

  long nowNanos() {
    return nowNanos;
  }

  void at(long atNanos, Runnable action) {
    events.add(new Event(Math.max(atNanos, nowNanos), sequence++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }
}
