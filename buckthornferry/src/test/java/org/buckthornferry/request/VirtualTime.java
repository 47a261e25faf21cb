package org.buckthornferry.request;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A discrete-event scheduler that runs actions in the order of their virtual time. */
final class VirtualTime {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private long nowNanos;
  private long lastNumber;

  private record Event(long atNanos, long number, Runnable action) {}

  long nowNanos() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, ++lastNumber, action));
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
