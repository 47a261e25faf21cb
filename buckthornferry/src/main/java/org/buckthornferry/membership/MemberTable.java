package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.MemberEntry;

/**
 * The members and the rules by which reports about them are merged.
 *
 * <p>Reports are ordered by incarnation, then by refutation counter, then by state: {@code ALIVE},
 * {@code SUSPECT}, {@code LEAVING}, {@code DEAD}. A departure lasts for the whole incarnation, so a
 * refutation by a leaving member keeps it leaving. A report of silence is not taken over while the
 * member's own heartbeats arrive here.
 */
final class MemberTable {
  /** Bounds the memory for members that peers and the instance list name. */
  static final int MAX_MEMBERS = 16_384;

  /** The effect of a report. */
  enum Outcome {
    /** The report was older than what is known. */
    UNCHANGED,
    /** The report changed the member. */
    CHANGED,
    /** The report says that a member is silent which is heard here. */
    CONTRADICTED
  }

  private final long suspectNanos;
  private final TreeMap<String, MemberRow> rows = new TreeMap<>();

  MemberTable(long suspectNanos) {
    this.suspectNanos = suspectNanos;
  }

  MemberRow get(String instanceId) {
    return rows.get(instanceId);
  }

  NavigableMap<String, MemberRow> rows() {
    return rows;
  }

  /** Returns the members of a region, in id order. */
  List<MemberRow> inRegion(String region) {
    List<MemberRow> members = new ArrayList<>();
    for (MemberRow row : rows.values()) {
      if (row.region.equals(region)) {
        members.add(row);
      }
    }
    return members;
  }

  /** Adds a member, or returns null when the table is full. */
  MemberRow add(
      String instanceId, String peerAddress, String failureDomain, String region, long nowNanos) {
    if (rows.size() >= MAX_MEMBERS) {
      return null;
    }
    MemberRow row = new MemberRow(instanceId, nowNanos);
    row.locate(peerAddress, failureDomain, region);
    rows.put(instanceId, row);
    return row;
  }

  void remove(String instanceId) {
    rows.remove(instanceId);
  }

  /** Merges a report of a third party. */
  Outcome merge(MemberEntry entry, long nowNanos) {
    MemberRow row = rows.get(entry.instanceId());
    if (row == null) {
      row =
          add(
              entry.instanceId(),
              entry.peerAddress(),
              entry.failureDomain(),
              entry.region(),
              nowNanos);
      if (row == null) {
        return Outcome.UNCHANGED;
      }
      replace(row, entry, nowNanos);
      return Outcome.CHANGED;
    }
    if (!supersedes(entry, row)) {
      observeStore(row, entry, nowNanos);
      return Outcome.UNCHANGED;
    }
    if (saysSilent(entry)
        && entry.incarnation() == row.incarnation
        && row.heardWithin(suspectNanos, nowNanos)) {
      return Outcome.CONTRADICTED;
    }
    replace(row, entry, nowNanos);
    return Outcome.CHANGED;
  }

  /** Merges the sender's own heartbeat; returns whether the member changed. */
  boolean mergeHeartbeat(MemberRow row, Heartbeat heartbeat, long nowNanos) {
    if (heartbeat.incarnation() < row.incarnation) {
      return false;
    }
    boolean newProcess = heartbeat.incarnation() > row.incarnation;
    if (newProcess) {
      row.incarnation = heartbeat.incarnation();
      row.refutations = heartbeat.refutations();
      row.lastSequence = -1;
      row.moveTo(MemberState.ALIVE, nowNanos);
    }
    if (heartbeat.sequence() <= row.lastSequence) {
      return newProcess;
    }
    row.lastSequence = heartbeat.sequence();
    row.observeStore(heartbeat.storeReachable(), heartbeat.storeAgeMillis(), nowNanos);
    boolean refuted = heartbeat.refutations() > row.refutations;
    if (row.state == MemberState.DEAD && !refuted) {
      return newProcess;
    }
    row.refutations = Math.max(row.refutations, heartbeat.refutations());
    row.lastHeardNanos = nowNanos;
    row.heardDirectly = true;
    MemberState before = row.state;
    boolean leaving = heartbeat.leaving() || before == MemberState.LEAVING;
    row.moveTo(leaving ? MemberState.LEAVING : MemberState.ALIVE, nowNanos);
    return newProcess || refuted || before != row.state;
  }

  private static boolean saysSilent(MemberEntry entry) {
    return entry.state() == MemberState.SUSPECT || entry.state() == MemberState.DEAD;
  }

  private static boolean supersedes(MemberEntry entry, MemberRow row) {
    if (entry.incarnation() != row.incarnation) {
      return entry.incarnation() > row.incarnation;
    }
    if (entry.refutations() != row.refutations) {
      return entry.refutations() > row.refutations;
    }
    return rank(entry.state()) > rank(row.state);
  }

  private static void replace(MemberRow row, MemberEntry entry, long nowNanos) {
    boolean sameProcess = entry.incarnation() == row.incarnation;
    final boolean staysLeaving =
        sameProcess && row.state == MemberState.LEAVING && entry.state() != MemberState.DEAD;
    if (!sameProcess) {
      row.lastSequence = -1;
      row.heardDirectly = false;
    }
    row.locate(entry.peerAddress(), entry.failureDomain(), entry.region());
    row.incarnation = entry.incarnation();
    row.refutations = entry.refutations();
    row.moveTo(staysLeaving ? MemberState.LEAVING : entry.state(), nowNanos);
    if (!saysSilent(entry)) {
      // A new process or a refutation gets the full time to be heard before it is suspected.
      row.expectedSinceNanos = nowNanos;
    }
    observeStore(row, entry, nowNanos);
  }

  private static void observeStore(MemberRow row, MemberEntry entry, long nowNanos) {
    if (entry.incarnation() == row.incarnation) {
      row.observeStore(entry.storeReachable(), entry.storeAgeMillis(), nowNanos);
    }
  }

  private static int rank(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
    };
  }
}
