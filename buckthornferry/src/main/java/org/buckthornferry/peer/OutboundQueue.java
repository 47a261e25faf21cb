package org.buckthornferry.peer;

import java.util.ArrayDeque;

/**
 * Frames that wait for a connection, bounded in number, bytes and age. When it is full the oldest
 * frame is dropped, since a newer message replaces what an older one says. Safe for concurrent use.
 */
final class OutboundQueue {
  private final int maxFrames;
  private final long maxBytes;
  private final long maxAgeNanos;
  private final ArrayDeque<Frame> frames = new ArrayDeque<>();
  private long bytes;
  private boolean drainRequested;

  @SuppressWarnings("ArrayRecordComponent") // Never compared or changed.
  private record Frame(byte[] payload, long queuedNanos) {}

  OutboundQueue(int maxFrames, long maxBytes, long maxAgeNanos) {
    this.maxFrames = maxFrames;
    this.maxBytes = maxBytes;
    this.maxAgeNanos = maxAgeNanos;
  }

  /** Adds a frame and returns how many older ones were dropped for it. */
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

  /** Returns the oldest frame that is not too old, or null when there is none. */
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

  /** Returns whether the caller has to schedule a drain; false when one is scheduled already. */
  synchronized boolean requestDrain() {
    boolean first = !drainRequested;
    drainRequested = true;
    return first;
  }

  /** Lets the next frame schedule a drain again. */
  synchronized void drainStarted() {
    drainRequested = false;
  }

  private Frame remove() {
    Frame frame = frames.removeFirst();
    bytes -= frame.payload.length;
    return frame;
  }
}
