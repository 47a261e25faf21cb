package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.HolderReport;

/** The holder's side of the exchange with one owner process. */
final class OwnerLink {
  /** Answers to older reports are ignored; at one report each 20 ms this covers over 2 s. */
  private static final int MAX_SENT_REPORTS = 128;

  /** Keeps reports of long endpoint ids below the largest frame. */
  private static final int MAX_ENTRIES = 4_096;

  private final String ownerId;
  private final long ownerIncarnation;
  private final CapacitySettings settings;
  private final Map<Integer, Coverage> coverages = new HashMap<>();
  private final ArrayDeque<SentReport> sentReports = new ArrayDeque<>();
  private long appliedGrantId;
  private long ackedRequestId;
  private long lastSentNanos;
  private boolean sentBefore;
  private boolean reportWanted;

  /** A report that may be answered, with the coverages that it was complete for. */
  private record SentReport(long requestId, long sentNanos, List<Coverage> coverages) {}

  OwnerLink(String ownerId, long ownerIncarnation, CapacitySettings settings) {
    this.ownerId = ownerId;
    this.ownerIncarnation = ownerIncarnation;
    this.settings = settings;
  }

  String ownerId() {
    return ownerId;
  }

  long ownerIncarnation() {
    return ownerIncarnation;
  }

  boolean isDue(long intervalNanos, long nowNanos) {
    return !sentBefore || nowNanos - lastSentNanos >= intervalNanos;
  }

  /** Asks for a report before the next regular one. */
  void wantReport() {
    reportWanted = true;
  }

  boolean isReportWanted() {
    return reportWanted;
  }

  /** Sets the shards of the owner; a new fencing number starts a new coverage. */
  void setShards(Map<Integer, Long> fencingByShard) {
    coverages.keySet().retainAll(fencingByShard.keySet());
    fencingByShard.forEach(
        (shard, fencing) -> {
          Coverage coverage = coverages.get(shard);
          if (coverage == null || coverage.fencingNumber() != fencing) {
            coverages.put(shard, new Coverage(ownerId, shard, fencing));
          }
        });
  }

  /** Returns whether there is anything to extend, to ask for or to tell. */
  boolean isNeeded(GrantHolder holder) {
    for (Coverage coverage : coverages.values()) {
      if (!coverage.isCovered()) {
        return true;
      }
      for (HeldGrant grant : holder.heldIn(coverage.shard())) {
        if (grant.isActive()) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the report to send now. */
  HolderReport report(GrantHolder holder, long incarnation, long requestId, long nowNanos) {
    List<HolderReport.Shard> shards = new ArrayList<>();
    List<HolderReport.Entry> entries = new ArrayList<>();
    List<Coverage> reported = new ArrayList<>();
    for (Coverage coverage : coverages.values()) {
      boolean complete = true;
      for (HeldGrant grant : holder.heldIn(coverage.shard())) {
        if (entries.size() >= MAX_ENTRIES) {
          complete = false;
          break;
        }
        HolderReport.Entry entry = grant.report(coverage, requestId, ackedRequestId, nowNanos);
        if (entry != null) {
          entries.add(entry);
        }
      }
      shards.add(
          new HolderReport.Shard(
              coverage.shard(), coverage.fencingNumber(), complete && !coverage.isCovered()));
      if (complete || coverage.isCovered()) {
        reported.add(coverage);
      }
    }
    sentReports.addLast(new SentReport(requestId, nowNanos, reported));
    if (sentReports.size() > MAX_SENT_REPORTS) {
      sentReports.removeFirst();
    }
    lastSentNanos = nowNanos;
    sentBefore = true;
    reportWanted = false;
    return new HolderReport(
        incarnation, requestId, ownerIncarnation, appliedGrantId, shards, entries);
  }

  /** Applies a grant and returns whether it must be acknowledged at once. */
  boolean apply(Grant grant, GrantHolder holder, long nowNanos) {
    SentReport answered = sentReport(grant.requestId());
    if (answered == null
        || grant.ownerIncarnation() != ownerIncarnation
        || grant.grantId() <= appliedGrantId) {
      return false;
    }
    appliedGrantId = grant.grantId();
    ackedRequestId = Math.max(ackedRequestId, grant.requestId());
    for (Grant.Shard shard : grant.shards()) {
      Coverage coverage = coverages.get(shard.shard());
      if (coverage != null
          && coverage.fencingNumber() == shard.fencingNumber()
          && answered.coverages.contains(coverage)) {
        coverage.extend(answered.sentNanos, settings);
      }
    }
    boolean smaller = false;
    for (Grant.Entry entry : grant.entries()) {
      Coverage coverage = coverages.get(holder.shardOf(entry.endpointId()));
      if (coverage != null) {
        smaller |= holder.grantOf(entry.endpointId(), nowNanos).apply(entry, coverage);
      }
    }
    return smaller;
  }

  private SentReport sentReport(long requestId) {
    for (SentReport sent : sentReports) {
      if (sent.requestId == requestId) {
        return sent;
      }
    }
    return null;
  }
}
