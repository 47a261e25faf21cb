package org.buckthornferry.testing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** A scheduler and clock whose time passes only when a test says so. */
public final class ManualScheduler implements Scheduler, MonotonicClock {
  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::sequence));
  private final Set<Entry> cancelled = new HashSet<>();
  private long nowMillis;
  private long lastSequence;

  private record Entry(long dueMillis, long sequence, Runnable task) {}

  @Override
  public Task schedule(Runnable task, long delayMillis) {
    Entry entry = new Entry(nowMillis + delayMillis, ++lastSequence, task);
    entries.add(entry);
    return () -> cancelled.add(entry);
  }

  @Override
  public long nanoTime() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  /** Returns the current time in milliseconds. */
  public long nowMillis() {
    return nowMillis;
  }

  /** Lets time pass and runs what becomes due, in order. */
  public void advance(long millis) {
    long endMillis = nowMillis + millis;
    while (!entries.isEmpty() && entries.peek().dueMillis <= endMillis) {
      Entry next = entries.poll();
      nowMillis = Math.max(nowMillis, next.dueMillis);
      if (!cancelled.remove(next)) {
        next.task.run();
      }
    }
    nowMillis = endMillis;
  }
}
