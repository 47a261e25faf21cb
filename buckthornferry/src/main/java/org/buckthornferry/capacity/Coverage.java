package org.buckthornferry.capacity;

/** What a holder knows about the owner of one shard under one fencing number. */
final class Coverage {
  private final String ownerId;
  private final int shard;
  private final long fencingNumber;
  private boolean valid;
  private boolean covered;
  private long grantUntilNanos;
  private long sliceUntilNanos;

  Coverage(String ownerId, int shard, long fencingNumber) {
    this.ownerId = ownerId;
    this.shard = shard;
    this.fencingNumber = fencingNumber;
  }

  String ownerId() {
    return ownerId;
  }

  int shard() {
    return shard;
  }

  long fencingNumber() {
    return fencingNumber;
  }

  /** Returns whether the owner has answered a complete report. */
  boolean isCovered() {
    return covered;
  }

  boolean isGrantValid(long nowNanos) {
    return valid && nowNanos - grantUntilNanos < 0;
  }

  boolean isSliceValid(long nowNanos) {
    return valid && nowNanos - sliceUntilNanos < 0;
  }

  /** Extends the validity of everything granted; counted from the send of the request. */
  void extend(long sentNanos, CapacitySettings settings) {
    long grantUntil = sentNanos + settings.grantValidNanos();
    if (!valid || grantUntil - grantUntilNanos > 0) {
      grantUntilNanos = grantUntil;
      sliceUntilNanos = sentNanos + settings.fallbackValidNanos();
    }
    valid = true;
    covered = true;
  }
}
