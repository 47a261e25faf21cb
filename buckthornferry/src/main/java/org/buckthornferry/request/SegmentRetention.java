package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.function.Predicate;

/** Queues journal segments for deletion after two claim windows, oldest first. */
final class SegmentRetention {
  private static final int MAX_DUE_COUNT = 8;

  private final ArrayDeque<Segment> segments = new ArrayDeque<>();

  /**
   * A closed or sealed segment, which no longer changes.
   *
   * @param writer the process that wrote the segment
   * @param version the store version that the deletion expects
   * @param dueNanos the time at which the segment may be deleted
   */
  record Segment(ProcessIncarnation writer, String key, long version, long dueNanos) {}

  void add(Segment segment) {
    segments.add(segment);
  }

  /** Requeues a segment whose deletion failed at the head of the queue. */
  void retry(Segment segment) {
    segments.addFirst(segment);
  }

  /**
   * Removes and returns the next due segment, or null. Due segments whose writer may still be
   * running are dropped, because the writer deletes them itself.
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

  /** Returns the number of due segments, counted up to {@code MAX_DUE_COUNT}. */
  int dueCount(long nowNanos) {
    int count = 0;
    for (Segment segment : segments) {
      if (nowNanos - segment.dueNanos < 0 || count >= MAX_DUE_COUNT) {
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
