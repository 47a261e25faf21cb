package org.buckthornferry.shard;

import java.util.Optional;

/** The state that this instance keeps of one shard: its record, owner, tenure and pending call. */
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

  /** Returns whether {@link #stored} is recent enough for a compare-and-swap. */
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

  /** Returns whether a release was sent that the store may still apply to the stored version. */
  boolean isReleaseAttempted() {
    return releaseAttempted;
  }

  /** Returns whether this process acquired the shard with the given lease and still owns it. */
  boolean isOwnedWith(long leaseId) {
    return ownedLeaseId != 0 && ownedLeaseId == leaseId;
  }

  /** Marks a store call as in flight; no other call starts and listed records are skipped. */
  void started() {
    inFlight = true;
  }

  void finished(long retryAtNanos) {
    inFlight = false;
    nextAttemptNanos = retryAtNanos;
  }

  void setAttempt(Attempt newAttempt) {
    attempt = newAttempt;
  }

  /** Stops owning the shard before a release is sent. */
  void startRelease() {
    ownedLeaseId = 0;
    releaseAttempted = true;
  }

  void recordRead(Stored newStored) {
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

  /** Applies an owner's announcement; returns whether it is newer than the known owner. */
  boolean learnOwner(ShardOwner newOwner) {
    if (owner != null && newOwner.fencingNumber() <= owner.fencingNumber()) {
      return false;
    }
    owner = newOwner;
    endIfSuperseded(newOwner.fencingNumber());
    if (stored == null || stored.shardRecord.fencingNumber() < newOwner.fencingNumber()) {
      loaded = false;
    }
    return true;
  }

  /** Starts the ownership of the shard, or continues it when no other owner came in between. */
  void acquired(ShardRecord base, ShardRecord written, long nowNanos) {
    boolean continuous =
        tenure != null
            && (written.fencingNumber() == tenure.fencingNumber()
                || (base != null
                    && base.isOwnedBy(written.ownerId(), written.incarnation())
                    && base.fencingNumber() == tenure.fencingNumber()));
    long first = continuous ? tenure.firstFencingNumber() : written.fencingNumber();
    long acquiredNanos = continuous ? tenure.acquiredNanos() : nowNanos;
    tenure = new ShardTenure(written.fencingNumber(), first, acquiredNanos);
    ownedLeaseId = written.leaseId();
    releaseAttempted = false;
  }

  /** Ends the ownership when a record or announcement has a higher fencing number. */
  private void endIfSuperseded(long fencingNumber) {
    if (tenure != null && fencingNumber > tenure.fencingNumber()) {
      ownedLeaseId = 0;
    }
  }

  private void learnRecord(ShardRecord shardRecord) {
    endIfSuperseded(shardRecord.fencingNumber());
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
