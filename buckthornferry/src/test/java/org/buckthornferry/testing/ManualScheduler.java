package org.buckthornferry.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** A scheduler and clock whose time passes only when a test says so. */
public final class ManualScheduler implements Scheduler, MonotonicClock {
  private final List<Entry> entries = new ArrayList<>();
  private long nowMillis;

  private record Entry(long dueMillis, Runnable task) {}

  @Override
  public Task schedule(Runnable task, long delayMillis) {
    Entry entry = new Entry(nowMillis + delayMillis, task);
    entries.add(entry);
    return () -> entries.remove(entry);
  }

  @Override
  public long nanoTime() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  /** Lets time pass and runs what becomes due, in order. */
  public void advance(long millis) {
    long endMillis = nowMillis + millis;
    while (true) {
      Entry next = entries.stream().min(Comparator.comparingLong(Entry::dueMillis)).orElse(null);
      if (next == null || next.dueMillis > endMillis) {
        nowMillis = endMillis;
        return;
      }
      entries.remove(next);
      nowMillis = Math.max(nowMillis, next.dueMillis);
      next.task.run();
    }
  }
}
