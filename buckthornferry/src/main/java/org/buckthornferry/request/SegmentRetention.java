package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.function.Predicate;

/** The segments to delete once they are older than two claim windows, oldest first. */
final class SegmentRetention {
  private static final int MAX_COUNTED = 8;

  private final ArrayDeque<Segment> segments = new ArrayDeque<>();

  /**
   * A segment that does not change any more.
   *
   * @param writer the process that wrote it
   */
  record Segment(ProcessIncarnation writer, String key, long version, long dueNanos) {}

  void add(Segment segment) {
    segments.add(segment);
  }

  /** Puts back a segment whose deletion failed. */
  void retry(Segment segment) {
    segments.addFirst(segment);
  }

  /**
   * Returns and removes the next due segment, or null. A due segment whose writer may still run is
   * left to its writer.
   */
  Segment pollDue(long nowNanos, Predicate<ProcessIncarnation> mayDelete) {
    while (!segments.isEmpty() && nowNanos - segments.peek().dueNanos >= 0) {
      Segment segment = segments.poll();
      if (mayDelete.test(segment.writer)) {
        return segment;
      }
    }
    return null;
  }

  /** Returns how many segments are due, counted up to a small bound. */
  int dueCount(long nowNanos) {
    int count = 0;
    for (Segment segment : segments) {
      if (nowNanos - segment.dueNanos < 0 || count >= MAX_COUNTED) {
        break;
      }
      count++;
    }
    return count;
  }

  int size() {
    return segments.size();
  }
}
