package org.buckthornferry.capacity;

import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.HolderReport;

/** The holder's state of its grant for one endpoint. */
final class HeldGrant {
  private final String endpointId;
  private GrantValidity validity;
  private long minFencingNumber;
  private Amounts grant = Amounts.ZERO;
  private Amounts slice = Amounts.ZERO;
  private boolean cold;
  private boolean designated;
  private Amounts running = Amounts.ZERO;
  private Amounts waiting = Amounts.ZERO;
  private Amounts refusedDemand = Amounts.ZERO;
  private final RunningHistory history = new RunningHistory();
  private HolderReport.Entry lastReported;
  private long lastReportedRequestId;

  HeldGrant(String endpointId) {
    this.endpointId = endpointId;
  }

  String endpointId() {
    return endpointId;
  }

  Amounts running() {
    return running;
  }

  Amounts grant() {
    return grant;
  }

  Amounts slice() {
    return slice;
  }

  boolean isCold() {
    return cold;
  }

  /** Returns what may run now under the grant or, when it has expired, the fallback slice. */
  Amounts usable(long nowNanos) {
    if (validity == null) {
      return Amounts.ZERO;
    }
    if (validity.isGrantValid(nowNanos)) {
      return grant;
    }
    return usableSlice(nowNanos);
  }

  boolean usesSlice(long nowNanos) {
    return validity != null && !validity.isGrantValid(nowNanos);
  }

  boolean tryAcquire(Amounts cost, long nowNanos) {
    Amounts wanted = running.plus(cost);
    if (!wanted.fits(usable(nowNanos))) {
      refusedDemand = refusedDemand.max(cost);
      return false;
    }
    running = wanted;
    history.record(running.concurrent(), nowNanos);
    return true;
  }

  void release(Amounts cost, long nowNanos) {
    if (!cost.fits(running)) {
      throw new IllegalStateException("released more than runs at " + endpointId);
    }
    running = running.minus(cost);
    history.record(running.concurrent(), nowNanos);
  }

  void setWaiting(Amounts newWaiting) {
    waiting = newWaiting;
  }

  void setCold(boolean newCold) {
    cold = newCold;
  }

  /** Returns whether the grant must be extended or there is usage or demand to report. */
  boolean isActive() {
    return !grant.equals(Amounts.ZERO)
        || !running.equals(Amounts.ZERO)
        || !demand().equals(Amounts.ZERO);
  }

  /**
   * Applies a grant entry and returns whether the holder may run less than before.
   *
   * @param source the validity record of the owner that sent the entry
   */
  boolean apply(Grant.Entry entry, GrantValidity source) {
    if (entry.fencingNumber() < minFencingNumber
        || entry.fencingNumber() != source.fencingNumber()) {
      return false;
    }
    final boolean reduced = !grant.fits(entry.grant()) || !slice.fits(entry.slice());
    validity = source;
    minFencingNumber = entry.fencingNumber();
    grant = entry.grant();
    slice = entry.slice();
    cold = entry.cold();
    designated = entry.designated();
    return reduced;
  }

  /**
   * Returns the entry to report, or null when nothing needs to be reported.
   *
   * @param to the validity record of the owner that receives the report
   */
  HolderReport.Entry report(
      GrantValidity to, long requestId, long acknowledgedRequestId, long nowNanos) {
    // Delayed grants of an earlier owner must not add to what is reported.
    minFencingNumber = Math.max(minFencingNumber, to.fencingNumber());
    HolderReport.Entry current = entry(nowNanos);
    boolean active = isActive();
    refusedDemand = Amounts.ZERO;
    boolean acknowledged = to.isSynchronized() && lastReportedRequestId <= acknowledgedRequestId;
    if (!to.isSynchronized() && !active) {
      lastReported = null;
      return null;
    }
    if (acknowledged && (lastReported == null ? !active : !isSignificantChange(current))) {
      return null;
    }
    if (!current.equals(lastReported)) {
      lastReportedRequestId = requestId;
    }
    lastReported = current;
    return current;
  }

  /** Returns whether the current demand should be reported before the next regular request. */
  boolean isUrgent() {
    Amounts demand = demand();
    return !demand.fits(grant)
        && (lastReported == null || isSignificantIncrease(demand, lastReported.demand()));
  }

  /**
   * Returns whether a change is worth reporting. The owner reserves the whole grant, so small
   * changes below it have no effect there, and reporting each would cost a message entry per
   * request.
   */
  private boolean isSignificantChange(HolderReport.Entry current) {
    boolean runningChanged =
        !running.equals(lastReported.running())
            && (!running.fits(grant) || !lastReported.running().fits(grant));
    return runningChanged
        || isSignificantIncrease(current.demand(), lastReported.demand())
        || isSignificantIncrease(lastReported.demand(), current.demand());
  }

  /** Returns whether {@code more} exceeds {@code less} by enough to change the division. */
  private boolean isSignificantIncrease(Amounts more, Amounts less) {
    return isSignificantIncrease(more.concurrent(), less.concurrent(), grant.concurrent())
        || isSignificantIncrease(more.prefillTokens(), less.prefillTokens(), grant.prefillTokens())
        || isSignificantIncrease(more.decodeTokens(), less.decodeTokens(), grant.decodeTokens());
  }

  private static boolean isSignificantIncrease(long more, long less, long granted) {
    return more > less && ((more > granted && more - less > less / 8) || more > 2 * less);
  }

  private HolderReport.Entry entry(long nowNanos) {
    long fencing = validity == null ? 0 : validity.fencingNumber();
    // The slice counts even while a cold endpoint forbids its use, because it may warm up.
    boolean sliceValid = validity != null && validity.isSliceValid(nowNanos);
    Amounts held = usable(nowNanos).max(sliceValid ? slice : Amounts.ZERO);
    return new HolderReport.Entry(endpointId, fencing, held, running, demand());
  }

  private Amounts usableSlice(long nowNanos) {
    boolean usable = validity != null && validity.isSliceValid(nowNanos) && (!cold || designated);
    return usable ? slice : Amounts.ZERO;
  }

  private Amounts demand() {
    return running.plus(waiting.max(refusedDemand));
  }

  /** Returns the minimum number of requests that ran around the probed time. */
  long minRunningAround(long ageNanos, long nowNanos) {
    return history.minRunning(ageNanos, running.concurrent(), nowNanos);
  }
}
