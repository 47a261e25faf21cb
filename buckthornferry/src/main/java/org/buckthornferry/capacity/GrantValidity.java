package org.buckthornferry.capacity;

/** The validity, at a holder, of the grants of one shard under one fencing number of its owner. */
final class GrantValidity {
  private final String ownerId;
  private final int shard;
  private final long fencingNumber;
  private boolean hasGrant;
  private boolean synchronizedWithOwner;
  private long grantUntilNanos;
  private long sliceUntilNanos;

  GrantValidity(String ownerId, int shard, long fencingNumber) {
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

  /** Returns whether the owner has answered a complete report of this shard. */
  boolean isSynchronized() {
    return synchronizedWithOwner;
  }

  boolean isGrantValid(long nowNanos) {
    return hasGrant && nowNanos - grantUntilNanos < 0;
  }

  boolean isSliceValid(long nowNanos) {
    return hasGrant && nowNanos - sliceUntilNanos < 0;
  }

  /** Extends the validity of all grants and slices, counted from the send of the request. */
  void extend(long sentNanos, CapacitySettings settings) {
    long grantUntil = sentNanos + settings.grantValidNanos();
    if (!hasGrant || grantUntil - grantUntilNanos > 0) {
      grantUntilNanos = grantUntil;
      sliceUntilNanos = sentNanos + settings.fallbackValidNanos();
    }
    hasGrant = true;
    synchronizedWithOwner = true;
  }
}
