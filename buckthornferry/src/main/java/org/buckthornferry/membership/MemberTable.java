package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.MemberEntry;

/**
 * The table of known members, which merges heartbeats and reports about members.
 *
 * <p>Reports are ordered by incarnation, then by refutation counter, then by state: {@code ALIVE},
 * {@code SUSPECT}, {@code LEAVING}, {@code DEAD}. {@code LEAVING} lasts for the whole incarnation,
 * so a leaving member that refutes a suspicion stays leaving. A report of {@code SUSPECT} or {@code
 * DEAD} is rejected while the member's own heartbeats arrive here.
 */
final class MemberTable {
  /** Bounds the memory used for members named by peers and by the instance list. */
  static final int MAX_MEMBERS = 16_384;

  /** The effect of merging a report. */
  enum MergeResult {
    /** The report was older than what is known. */
    UNCHANGED,
    /** The report changed the member. */
    CHANGED,
    /** The report calls a member suspect or dead whose heartbeats arrive here. */
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
    row.setLocation(peerAddress, failureDomain, region);
    rows.put(instanceId, row);
    return row;
  }

  void remove(String instanceId) {
    rows.remove(instanceId);
  }

  /** Merges a report about a member from another instance. */
  MergeResult merge(MemberEntry entry, long nowNanos) {
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
        return MergeResult.UNCHANGED;
      }
      replace(row, entry, nowNanos);
      return MergeResult.CHANGED;
    }
    if (!supersedes(entry, row)) {
      observeStore(row, entry, nowNanos);
      return MergeResult.UNCHANGED;
    }
    if (reportsUnresponsive(entry)
        && entry.incarnation() == row.incarnation
        && row.heardWithin(suspectNanos, nowNanos)) {
      return MergeResult.CONTRADICTED;
    }
    replace(row, entry, nowNanos);
    return MergeResult.CHANGED;
  }

  /** Merges a heartbeat sent by the member itself; returns whether the member changed. */
  boolean mergeHeartbeat(MemberRow row, Heartbeat heartbeat, long nowNanos) {
    if (heartbeat.incarnation() < row.incarnation) {
      return false;
    }
    boolean newProcess = heartbeat.incarnation() > row.incarnation;
    if (newProcess) {
      row.incarnation = heartbeat.incarnation();
      row.refutations = heartbeat.refutations();
      row.lastSequence = -1;
      row.setState(MemberState.ALIVE, nowNanos);
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
    row.setState(leaving ? MemberState.LEAVING : MemberState.ALIVE, nowNanos);
    return newProcess || refuted || before != row.state;
  }

  private static boolean reportsUnresponsive(MemberEntry entry) {
    return entry.state() == MemberState.SUSPECT || entry.state() == MemberState.DEAD;
  }

  private static boolean supersedes(MemberEntry entry, MemberRow row) {
    if (entry.incarnation() != row.incarnation) {
      return entry.incarnation() > row.incarnation;
    }
    if (entry.refutations() != row.refutations) {
      return entry.refutations() > row.refutations;
    }
    return precedence(entry.state()) > precedence(row.state);
  }

  private static void replace(MemberRow row, MemberEntry entry, long nowNanos) {
    boolean sameProcess = entry.incarnation() == row.incarnation;
    final boolean staysLeaving =
        sameProcess && row.state == MemberState.LEAVING && entry.state() != MemberState.DEAD;
    if (!sameProcess) {
      row.lastSequence = -1;
      row.heardDirectly = false;
    }
    row.setLocation(entry.peerAddress(), entry.failureDomain(), entry.region());
    row.incarnation = entry.incarnation();
    row.refutations = entry.refutations();
    row.setState(staysLeaving ? MemberState.LEAVING : entry.state(), nowNanos);
    if (!reportsUnresponsive(entry)) {
      // A new process or a refutation restarts the suspicion timeout.
      row.expectedSinceNanos = nowNanos;
    }
    observeStore(row, entry, nowNanos);
  }

  private static void observeStore(MemberRow row, MemberEntry entry, long nowNanos) {
    if (entry.incarnation() == row.incarnation) {
      row.observeStore(entry.storeReachable(), entry.storeAgeMillis(), nowNanos);
    }
  }

  private static int precedence(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> 3;
    };
  }
}
