package org.buckthornferry.membership;

import org.buckthornferry.peer.MemberEntry;

/** The mutable state that this instance keeps of one member; owned by {@link MemberTable}. */
final class MemberRow {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  final String instanceId;
  final int hash;
  String peerAddress;
  String failureDomain;
  String region;
  long incarnation;
  long refutations;
  MemberState state = MemberState.ALIVE;
  long stateSinceNanos;
  long lastHeardNanos;
  boolean heardDirectly;
  long expectedSinceNanos;
  long listedOnlySinceNanos;
  long lastSequence = -1;
  boolean storeReachable;
  long storeObservedNanos;
  boolean listed;
  long unlistedSinceNanos;
  long lastNotifiedNanos;
  boolean digestDiffers;
  long digestDiffersSinceNanos;
  String repairCursor = "";
  private long leavingIncarnation;

  MemberRow(String instanceId, long nowNanos) {
    this.instanceId = instanceId;
    this.hash = HeartbeatRing.hash(instanceId);
    this.stateSinceNanos = nowNanos;
    this.lastHeardNanos = nowNanos;
    this.expectedSinceNanos = nowNanos;
    this.listedOnlySinceNanos = nowNanos;
    this.unlistedSinceNanos = nowNanos;
    this.lastNotifiedNanos = nowNanos - NANOS_PER_MILLI * MemberEntry.MAX_AGE_MILLIS;
    this.storeObservedNanos = nowNanos - MemberEntry.MAX_AGE_MILLIS * NANOS_PER_MILLI;
  }

  void setLocation(String newPeerAddress, String newFailureDomain, String newRegion) {
    peerAddress = newPeerAddress;
    failureDomain = newFailureDomain;
    region = newRegion;
  }

  void setState(MemberState newState, long nowNanos) {
    if (newState == MemberState.LEAVING) {
      leavingIncarnation = incarnation;
    }
    if (state != newState) {
      state = newState;
      stateSinceNanos = nowNanos;
    }
  }

  /** Returns whether the process announced that it was leaving and is now dead. */
  boolean hasLeft() {
    return state == MemberState.DEAD && incarnation != 0 && leavingIncarnation == incarnation;
  }

  /** Returns the time since the last heartbeat, or since heartbeats are expected if shorter. */
  long silentNanos(long nowNanos) {
    return Math.min(nowNanos - lastHeardNanos, nowNanos - expectedSinceNanos);
  }

  /** Moves timestamps forward so that a pause of this process does not count as silence. */
  void excludePause(long pauseNanos) {
    lastHeardNanos += pauseNanos;
    expectedSinceNanos += pauseNanos;
    listedOnlySinceNanos += pauseNanos;
    stateSinceNanos += pauseNanos;
  }

  /** Returns whether a heartbeat of the member's process arrived within {@code maxNanos}. */
  boolean heardWithin(long maxNanos, long nowNanos) {
    return heardDirectly && nowNanos - lastHeardNanos <= maxNanos;
  }

  /** Stores an observation of the key-value service if it is newer; returns whether it was. */
  boolean observeStore(boolean reachable, int ageMillis, long nowNanos) {
    if (ageMillis >= MemberEntry.MAX_AGE_MILLIS) {
      return false;
    }
    long observedNanos = nowNanos - ageMillis * NANOS_PER_MILLI;
    if (observedNanos - storeObservedNanos <= 0) {
      return false;
    }
    storeReachable = reachable;
    storeObservedNanos = observedNanos;
    return true;
  }

  int storeAgeMillis(long nowNanos) {
    long ageMillis = (nowNanos - storeObservedNanos) / NANOS_PER_MILLI;
    return (int) Math.max(0, Math.min(MemberEntry.MAX_AGE_MILLIS, ageMillis));
  }

  MemberEntry toEntry(long nowNanos) {
    return new MemberEntry(
        instanceId,
        peerAddress,
        failureDomain,
        region,
        incarnation,
        refutations,
        state,
        storeReachable,
        storeAgeMillis(nowNanos));
  }

  Member toMember() {
    return new Member(
        instanceId,
        peerAddress,
        failureDomain,
        region,
        incarnation,
        refutations,
        state,
        storeReachable,
        storeObservedNanos);
  }

  /** Returns the member's contribution to the region digest; 0 when it does not contribute. */
  int digest() {
    if (state == MemberState.DEAD || incarnation == 0) {
      return 0;
    }
    long mixed = incarnation * 0x9E3779B97F4A7C15L + refutations * 2 + leavingBit();
    mixed = (mixed ^ (mixed >>> 32) ^ hash) * 0xD6E8FEB86659FD93L;
    return (int) (mixed >>> 32);
  }

  private int leavingBit() {
    return state == MemberState.LEAVING ? 1 : 0;
  }
}
