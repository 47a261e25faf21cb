package org.buckthornferry.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Publishes cache events late and with gaps. Used by one thread. */
final class CacheEventLog {
  private static final int MAX_EVENTS = 4_096;

  private final long delayNanos;
  private final double dropShare;
  private final RandomGenerator random;
  private final Deque<Late> events = new ArrayDeque<>();
  private long lastSequence;

  private record Late(CacheEvent event, long visibleNanos) {}

  CacheEventLog(long delayMillis, double dropShare, RandomGenerator random) {
    this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
    this.dropShare = dropShare;
    this.random = random;
  }

  void add(String kind, long prefixHash, long tokens, long nowNanos) {
    lastSequence++;
    if (dropShare > 0 && random.nextDouble() < dropShare) {
      return;
    }
    CacheEvent event = new CacheEvent(lastSequence, kind, prefixHash, tokens);
    events.addLast(new Late(event, nowNanos + delayNanos));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the visible events whose sequence is above {@code after}. */
  List<CacheEvent> after(long after, long nowNanos) {
    List<CacheEvent> visible = new ArrayList<>();
    for (Late late : events) {
      if (late.event.sequence() > after && nowNanos - late.visibleNanos >= 0) {
        visible.add(late.event);
      }
    }
    return visible;
  }
}
