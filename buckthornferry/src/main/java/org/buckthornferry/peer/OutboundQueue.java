package org.buckthornferry.peer;

import java.util.ArrayDeque;

/**
 * Queue of outbound frames, bounded in number, bytes and age. When full it drops the oldest frames,
 * because newer messages supersede older ones. Safe for concurrent use.
 */
final class OutboundQueue {
  private final int maxFrames;
  private final long maxBytes;
  private final long maxAgeNanos;
  private final ArrayDeque<Frame> frames = new ArrayDeque<>();
  private long bytes;
  private boolean drainRequested;

  @SuppressWarnings("ArrayRecordComponent") // Never compared or modified.
  private record Frame(byte[] payload, long queuedNanos) {}

  OutboundQueue(int maxFrames, long maxBytes, long maxAgeNanos) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
    this.maxAgeNanos = maxAgeNanos;
  }

  /** Adds a frame and returns the number of older frames that were dropped to make room. */
  synchronized int offer(byte[] payload, long nowNanos) {
    int dropped = 0;
    while (!frames.isEmpty() && (frames.size() >= maxFrames || bytes + payload.length > maxBytes)) {
      remove();
      dropped++;
    }
    frames.addLast(new Frame(payload, nowNanos));
    bytes += payload.length;
    return dropped;
  }

  /** Removes and returns the oldest frame that has not expired, or returns null. */
  synchronized byte[] poll(long nowNanos) {
    while (!frames.isEmpty()) {
      Frame frame = remove();
      if (nowNanos - frame.queuedNanos <= maxAgeNanos) {
        return frame.payload;
      }
    }
    return null;
  }

  synchronized boolean isEmpty() {
    return frames.isEmpty();
  }

  synchronized long bytes() {
    return bytes;
  }

  /** Returns whether the caller must schedule a drain; false when one is already scheduled. */
  synchronized boolean requestDrain() {
    boolean first = !drainRequested;
    drainRequested = true;
    return first;
  }

  /** Marks the drain as started, so that the next frame schedules another one. */
  synchronized void drainStarted() {
    drainRequested = false;
  }

  private Frame remove() {
    Frame frame = frames.removeFirst();
    bytes -= frame.payload.length;
    return frame;
  }
}
