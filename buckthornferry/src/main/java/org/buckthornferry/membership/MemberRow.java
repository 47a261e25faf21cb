package org.buckthornferry.membership;

import org.buckthornferry.peer.MemberEntry;

/** What this instance knows of one member. Mutable; owned by {@link MemberTable}. */
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
  long lastToldNanos;
  boolean digestDiffers;
  long digestDiffersSinceNanos;
  String repairCursor = "";
  private long announcedIncarnation;

  MemberRow(String instanceId, long nowNanos) {
    this.instanceId = instanceId;
    this.hash = HeartbeatRing.hash(instanceId);
    this.stateSinceNanos = nowNanos;
    this.lastHeardNanos = nowNanos;
    this.expectedSinceNanos = nowNanos;
    this.listedOnlySinceNanos = nowNanos;
    this.unlistedSinceNanos = nowNanos;
    this.lastToldNanos = nowNanos - NANOS_PER_MILLI * MemberEntry.MAX_AGE_MILLIS;
    this.storeObservedNanos = nowNanos - MemberEntry.MAX_AGE_MILLIS * NANOS_PER_MILLI;
  }

  void locate(String newPeerAddress, String newFailureDomain, String newRegion) {
    peerAddress = newPeerAddress;
    failureDomain = newFailureDomain;
    region = newRegion;
  }

  void moveTo(MemberState newState, long nowNanos) {
    if (newState == MemberState.LEAVING) {
      announcedIncarnation = incarnation;
    }
    if (state != newState) {
      state = newState;
      stateSinceNanos = nowNanos;
    }
  }

  /** Returns whether this process announced that it leaves and has fallen silent since. */
  boolean hasDeparted() {
    return state == MemberState.DEAD && incarnation != 0 && announcedIncarnation == incarnation;
  }

  /** Returns how long the member has been silent since heartbeats of it were expected. */
  long silentNanos(long nowNanos) {
    return Math.min(nowNanos - lastHeardNanos, nowNanos - expectedSinceNanos);
  }

  /** Does not count a pause of this process as silence of the member. */
  void shift(long pauseNanos) {
    lastHeardNanos += pauseNanos;
    expectedSinceNanos += pauseNanos;
    listedOnlySinceNanos += pauseNanos;
    stateSinceNanos += pauseNanos;
  }

  /** Returns whether a heartbeat of this process arrived within {@code maxNanos}. */
  boolean heardWithin(long maxNanos, long nowNanos) {
    return heardDirectly && nowNanos - lastHeardNanos <= maxNanos;
  }

  /** Takes a newer observation of the key-value service; returns whether it was newer. */
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

  /** Returns this member's part of the region's digest; 0 for a member that is not part of it. */
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
