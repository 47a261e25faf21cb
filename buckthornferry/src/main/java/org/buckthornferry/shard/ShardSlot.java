package org.buckthornferry.shard;

import java.util.Optional;

/** What this instance knows and holds of one shard. */
final class ShardSlot {
  private final ShardKind kind;
  private final int shard;
  private Stored stored;
  private boolean loaded;
  private boolean inFlight;
  private boolean releaseAttempted;
  private long nextAttemptNanos;
  private ShardOwner owner;
  private ShardTenure tenure;
  private long ownedLeaseId;
  private Attempt attempt;

  /** A record with its version in the store. */
  record Stored(long version, ShardRecord shardRecord) {}

  /** The last write that was sent. */
  record Attempt(String id, ShardRecord base, ShardRecord written) {}

  ShardSlot(ShardKind kind, int shard, long nowNanos) {
    this.kind = kind;
    this.shard = shard;
    this.nextAttemptNanos = nowNanos;
  }

  ShardKind kind() {
    return kind;
  }

  int shard() {
    return shard;
  }

  String key() {
    return kind.recordKey(shard);
  }

  /** Returns the record as last read or written, or null when the store had none. */
  Stored stored() {
    return stored;
  }

  /** Returns whether {@link #stored} is good enough to base a write on. */
  boolean isLoaded() {
    return loaded;
  }

  boolean isInFlight() {
    return inFlight;
  }

  long nextAttemptNanos() {
    return nextAttemptNanos;
  }

  Optional<ShardOwner> owner() {
    return Optional.ofNullable(owner);
  }

  ShardTenure tenure() {
    return tenure;
  }

  Attempt attempt() {
    return attempt;
  }

  /** Returns whether a release was sent that may still take effect on the stored version. */
  boolean isReleaseAttempted() {
    return releaseAttempted;
  }

  /** Returns whether this process took the shard with the given lease and did not give it up. */
  boolean isOwnedWith(long leaseId) {
    return ownedLeaseId != 0 && ownedLeaseId == leaseId;
  }

  /** Starts a store call, after which only its completion changes the slot. */
  void started() {
    inFlight = true;
  }

  void finished(long retryAtNanos) {
    inFlight = false;
    nextAttemptNanos = retryAtNanos;
  }

  void attempted(Attempt newAttempt) {
    attempt = newAttempt;
  }

  /** Stops owning the shard before a release is sent. */
  void releasing() {
    ownedLeaseId = 0;
    releaseAttempted = true;
  }

  void read(Stored newStored) {
    if (newStored == null || stored == null || newStored.version >= stored.version) {
      stored = newStored;
      loaded = true;
      if (newStored != null) {
        learnRecord(newStored.shardRecord);
      }
    }
  }

  void markStale() {
    loaded = false;
  }

  /** Learns of an owner from its announcement. */
  boolean learn(ShardOwner newOwner) {
    if (owner != null && newOwner.fencingNumber() <= owner.fencingNumber()) {
      return false;
    }
    owner = newOwner;
    endWhenSucceeded(newOwner.fencingNumber());
    if (stored == null || stored.shardRecord.fencingNumber() < newOwner.fencingNumber()) {
      loaded = false;
    }
    return true;
  }

  /** Starts or continues to own the shard. */
  void taken(ShardRecord base, ShardRecord written, long nowNanos) {
    boolean unbroken =
        tenure != null
            && (written.fencingNumber() == tenure.fencingNumber()
                || (base != null
                    && base.isOf(written.ownerId(), written.incarnation())
                    && base.fencingNumber() == tenure.fencingNumber()));
    long first = unbroken ? tenure.firstFencingNumber() : written.fencingNumber();
    long acquiredNanos = unbroken ? tenure.acquiredNanos() : nowNanos;
    tenure = new ShardTenure(written.fencingNumber(), first, acquiredNanos);
    ownedLeaseId = written.leaseId();
    releaseAttempted = false;
  }

  /** Stops owning the shard when another owner is known with a higher fencing number. */
  private void endWhenSucceeded(long fencingNumber) {
    if (tenure != null && fencingNumber > tenure.fencingNumber()) {
      ownedLeaseId = 0;
    }
  }

  private void learnRecord(ShardRecord shardRecord) {
    endWhenSucceeded(shardRecord.fencingNumber());
    if (owner != null && owner.fencingNumber() > shardRecord.fencingNumber()) {
      loaded = false;
      return;
    }
    owner =
        shardRecord.leaseId() == ShardRecord.RELEASED
            ? null
            : new ShardOwner(
                shardRecord.ownerId(), shardRecord.incarnation(), shardRecord.fencingNumber());
  }
}
