package org.buckthornferry.capacity;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.buckthornferry.peer.HolderReport;

/** The owner's side of the exchange with one holder process. */
final class HolderSession {
  private static final int SEND_TIMES = 64;

  private final String holderId;
  private final long incarnation;
  private final Map<Integer, Long> fencingByShard = new HashMap<>();
  private final Set<LedgerHolder> unacknowledged = new LinkedHashSet<>();
  private final long[] sendNanos = new long[SEND_TIMES];
  private long lastRequestId;
  private long lastGrantId;
  private long appliedGrantId;
  private long lastReportNanos;
  private long lastGrantNanos;
  private boolean grantSent;
  private boolean ended;
  private long endedNanos;
  private boolean pushWanted;

  HolderSession(String holderId, long incarnation, long nowNanos) {
    this.holderId = holderId;
    this.incarnation = incarnation;
    this.lastReportNanos = nowNanos;
  }

  String holderId() {
    return holderId;
  }

  long incarnation() {
    return incarnation;
  }

  long lastRequestId() {
    return lastRequestId;
  }

  long appliedGrantId() {
    return appliedGrantId;
  }

  /** Returns the fencing numbers under which the holder sent a complete report. */
  Map<Integer, Long> fencingByShard() {
    return fencingByShard;
  }

  /** Returns the grants that the holder has not acknowledged. */
  Set<LedgerHolder> unacknowledged() {
    return unacknowledged;
  }

  /** Notes a report and returns whether it is newer than every one before. */
  boolean received(HolderReport report, long ownIncarnation, long nowNanos) {
    if (ended || report.requestId() <= lastRequestId) {
      return false;
    }
    lastRequestId = report.requestId();
    lastReportNanos = nowNanos;
    if (report.ownerIncarnation() == ownIncarnation && report.appliedGrantId() <= lastGrantId) {
      appliedGrantId = Math.max(appliedGrantId, report.appliedGrantId());
    }
    return true;
  }

  /** Returns the id of the grant message that is sent now. */
  long nextGrantId(long nowNanos) {
    lastGrantId++;
    sendNanos[(int) (lastGrantId % SEND_TIMES)] = nowNanos;
    lastGrantNanos = nowNanos;
    grantSent = true;
    pushWanted = false;
    return lastGrantId;
  }

  void wantPush() {
    pushWanted = true;
  }

  boolean isPushWanted() {
    return pushWanted;
  }

  void end(long nowNanos) {
    if (!ended) {
      ended = true;
      endedNanos = nowNanos;
    }
  }

  boolean isEnded() {
    return ended;
  }

  /** Returns whether the holder sent a report recently enough to be given more. */
  boolean isTalking(CapacitySettings settings, long nowNanos) {
    return !ended && nowNanos - lastReportNanos <= settings.grantValidNanos();
  }

  /** Returns whether the holder could start no request under a grant from {@code nanos} on. */
  boolean isGrantExpiredAt(long nanos, CapacitySettings settings) {
    if (ended) {
      return nanos - endedNanos >= 0;
    }
    return nanos - lastReportNanos >= 0
        && (!grantSent
            || nanos - lastGrantNanos >= CapacitySettings.ownerNanos(settings.grantValidNanos()));
  }

  /** Returns whether the holder could use no fallback slice from {@code nanos} on. */
  boolean isSliceExpiredAt(long nanos, CapacitySettings settings) {
    if (ended) {
      return nanos - endedNanos >= 0;
    }
    long startNanos = grantSent ? lastGrantNanos : lastReportNanos;
    return nanos - startNanos >= CapacitySettings.ownerNanos(settings.fallbackValidNanos());
  }

  /**
   * Returns whether the low-water mark of the last report holds at {@code nanos}. The mark covers
   * one second before the report was sent; that was before its arrival and after the send of the
   * grant that it acknowledges.
   */
  boolean isLowWaterValidAt(long nanos, long markSpanNanos) {
    if (ended || lastGrantId - appliedGrantId >= SEND_TIMES || appliedGrantId == 0) {
      return false;
    }
    long sentAfterNanos = sendNanos[(int) (appliedGrantId % SEND_TIMES)];
    return nanos - sentAfterNanos <= 0 && lastReportNanos - nanos <= markSpanNanos;
  }
}
