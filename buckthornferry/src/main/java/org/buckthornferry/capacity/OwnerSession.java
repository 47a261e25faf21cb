package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.HolderReport;

/** The holder's state of the exchange with one owner process. */
final class OwnerSession {
  /** The reports whose answers are accepted; at one report per 20 ms they cover over 2 s. */
  private static final int MAX_SENT_REPORTS = 128;

  /** Keeps a message with long endpoint ids below the maximum frame size. */
  private static final int MAX_ENTRIES_PER_REPORT = 4_096;

  private final String ownerId;
  private final long ownerIncarnation;
  private final CapacitySettings settings;
  private final Map<Integer, GrantValidity> validities = new HashMap<>();
  private final ArrayDeque<SentReport> sentReports = new ArrayDeque<>();
  private final List<HolderReport.Answer> probeAnswers = new ArrayList<>();
  private long appliedGrantId;
  private long acknowledgedRequestId;
  private long lastSentNanos;
  private boolean hasSent;
  private boolean reportRequested;

  /** A report that may still be answered, with the shards that its answer extends. */
  private record SentReport(long requestId, long sentNanos, List<GrantValidity> validities) {}

  OwnerSession(String ownerId, long ownerIncarnation, CapacitySettings settings) {
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
    return !hasSent || nowNanos - lastSentNanos >= intervalNanos;
  }

  /** Requests a report before the next regular one. */
  void requestReport() {
    reportRequested = true;
  }

  boolean isReportRequested() {
    return reportRequested;
  }

  /** Sets the shards of the owner; a new fencing number starts a new validity record. */
  void setShards(Map<Integer, Long> fencingByShard) {
    validities.keySet().retainAll(fencingByShard.keySet());
    fencingByShard.forEach(
        (shard, fencing) -> {
          GrantValidity validity = validities.get(shard);
          if (validity == null || validity.fencingNumber() != fencing) {
            validities.put(shard, new GrantValidity(ownerId, shard, fencing));
          }
        });
  }

  /** Returns whether a report is needed to extend grants or to announce usage or demand. */
  boolean isNeeded(GrantHolder holder) {
    for (GrantValidity validity : validities.values()) {
      if (!validity.isSynchronized()) {
        return true;
      }
      for (HeldGrant grant : holder.heldIn(validity.shard())) {
        if (grant.isActive()) {
          return true;
        }
      }
    }
    return false;
  }

  /** Builds the report to send now. */
  HolderReport report(GrantHolder holder, long incarnation, long requestId, long nowNanos) {
    List<HolderReport.Shard> shards = new ArrayList<>();
    List<HolderReport.Entry> entries = new ArrayList<>();
    List<GrantValidity> reported = new ArrayList<>();
    for (GrantValidity validity : validities.values()) {
      boolean complete = true;
      for (HeldGrant grant : holder.heldIn(validity.shard())) {
        if (entries.size() >= MAX_ENTRIES_PER_REPORT) {
          complete = false;
          break;
        }
        HolderReport.Entry entry =
            grant.report(validity, requestId, acknowledgedRequestId, nowNanos);
        if (entry != null) {
          entries.add(entry);
        }
      }
      shards.add(
          new HolderReport.Shard(
              validity.shard(), validity.fencingNumber(), complete && !validity.isSynchronized()));
      if (complete || validity.isSynchronized()) {
        reported.add(validity);
      }
    }
    sentReports.addLast(new SentReport(requestId, nowNanos, reported));
    if (sentReports.size() > MAX_SENT_REPORTS) {
      sentReports.removeFirst();
    }
    lastSentNanos = nowNanos;
    hasSent = true;
    reportRequested = false;
    return new HolderReport(
        incarnation,
        requestId,
        ownerIncarnation,
        appliedGrantId,
        shards,
        entries,
        drainProbeAnswers());
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
    acknowledgedRequestId = Math.max(acknowledgedRequestId, grant.requestId());
    for (Grant.Shard shard : grant.shards()) {
      GrantValidity validity = validities.get(shard.shard());
      if (validity != null
          && validity.fencingNumber() == shard.fencingNumber()
          && answered.validities.contains(validity)) {
        validity.extend(answered.sentNanos, settings);
      }
    }
    boolean reduced = false;
    for (Grant.Entry entry : grant.entries()) {
      GrantValidity validity = validities.get(holder.shardOf(entry.endpointId()));
      if (validity != null) {
        reduced |= holder.grantOf(entry.endpointId()).apply(entry, validity);
      }
    }
    for (Grant.Probe probe : grant.probes()) {
      long minRunning =
          holder.grantOf(probe.endpointId()).minRunningAround(probe.ageNanos(), nowNanos);
      probeAnswers.add(new HolderReport.Answer(probe.endpointId(), minRunning));
    }
    return reduced || !probeAnswers.isEmpty();
  }

  private List<HolderReport.Answer> drainProbeAnswers() {
    List<HolderReport.Answer> taken = List.copyOf(probeAnswers);
    probeAnswers.clear();
    return taken;
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
