package org.buckthornferry.capacity;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.buckthornferry.peer.HolderReport;

/** The owner's state of the exchange with one holder process. */
final class HolderSession {
  /** The most recent grants whose send times are kept. */
  private static final int MAX_SEND_TIMES = 64;

  private final String holderId;
  private final long incarnation;
  private final Map<Integer, Long> fencingByShard = new HashMap<>();
  private final Set<LedgerHolder> unacknowledged = new LinkedHashSet<>();
  private final Set<GrantLedger> probes = new LinkedHashSet<>();
  private final long[] sendTimesNanos = new long[MAX_SEND_TIMES];
  private long lastRequestId;
  private long lastGrantId;
  private long appliedGrantId;
  private long lastReportNanos;
  private long lastGrantNanos;
  private boolean grantSent;
  private boolean ended;
  private long endedNanos;
  private boolean pushRequested;

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

  /** Records a report and returns whether it is newer than all earlier ones. */
  boolean acceptReport(HolderReport report, long ownIncarnation, long nowNanos) {
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

  /** Returns the id of the grant message to send now. */
  long nextGrantId(long nowNanos) {
    lastGrantId++;
    sendTimesNanos[(int) (lastGrantId % MAX_SEND_TIMES)] = nowNanos;
    lastGrantNanos = nowNanos;
    grantSent = true;
    pushRequested = false;
    return lastGrantId;
  }

  void requestPush() {
    pushRequested = true;
  }

  boolean isPushRequested() {
    return pushRequested;
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

  /** Returns whether the holder reported recently enough to receive grants. */
  boolean isResponsive(CapacitySettings settings, long nowNanos) {
    return !ended && nowNanos - lastReportNanos <= settings.grantValidNanos();
  }

  /** Returns whether the holder could not start requests under a grant from {@code nanos} on. */
  boolean isGrantExpiredAt(long nanos, CapacitySettings settings) {
    if (ended) {
      return nanos - endedNanos >= 0;
    }
    return nanos - lastReportNanos >= 0
        && (!grantSent
            || nanos - lastGrantNanos
                >= CapacitySettings.withClockDrift(settings.grantValidNanos()));
  }

  /** Returns whether the holder could not use a fallback slice from {@code nanos} on. */
  boolean isSliceExpiredAt(long nanos, CapacitySettings settings) {
    if (ended) {
      return nanos - endedNanos >= 0;
    }
    long startNanos = grantSent ? lastGrantNanos : lastReportNanos;
    return nanos - startNanos >= CapacitySettings.withClockDrift(settings.fallbackValidNanos());
  }

  /**
   * Returns when the latest acknowledged grant was sent, or empty when it is no longer recorded.
   */
  OptionalLong appliedSentNanos() {
    return appliedGrantId == 0 || lastGrantId - appliedGrantId >= MAX_SEND_TIMES
        ? OptionalLong.empty()
        : OptionalLong.of(sendTimesNanos[(int) (appliedGrantId % MAX_SEND_TIMES)]);
  }

  /** Returns the ledgers whose probes go into the next message. */
  Set<GrantLedger> probes() {
    return probes;
  }
}
