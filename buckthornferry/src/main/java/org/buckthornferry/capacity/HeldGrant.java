package org.buckthornferry.capacity;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.HolderReport;

/** The grant of one endpoint as its holder keeps it. */
final class HeldGrant {
  private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String endpointId;
  private Coverage coverage;
  private long floorFencing;
  private Amounts grant = Amounts.ZERO;
  private Amounts slice = Amounts.ZERO;
  private boolean cold;
  private boolean designated;
  private Amounts running = Amounts.ZERO;
  private Amounts waiting = Amounts.ZERO;
  private Amounts refused = Amounts.ZERO;
  private long bucketNanos;
  private long bucketLow;
  private long previousLow;
  private HolderReport.Entry sent;
  private long sentRequestId;

  HeldGrant(String endpointId, long nowNanos) {
    this.endpointId = endpointId;
    this.bucketNanos = nowNanos;
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

  /** Returns what may run now because of the grant or, without one, of the fallback slice. */
  Amounts usable(long nowNanos) {
    if (coverage == null) {
      return Amounts.ZERO;
    }
    if (coverage.isGrantValid(nowNanos)) {
      return grant;
    }
    return usableSlice(nowNanos);
  }

  boolean usesSlice(long nowNanos) {
    return coverage != null && !coverage.isGrantValid(nowNanos);
  }

  boolean tryAcquire(Amounts cost, long nowNanos) {
    Amounts wanted = running.plus(cost);
    if (!wanted.fits(usable(nowNanos))) {
      refused = refused.max(cost);
      return false;
    }
    rotate(nowNanos);
    running = wanted;
    return true;
  }

  void release(Amounts cost, long nowNanos) {
    if (!cost.fits(running)) {
      throw new IllegalStateException("released more than runs at " + endpointId);
    }
    rotate(nowNanos);
    running = running.minus(cost);
    bucketLow = Math.min(bucketLow, running.concurrent());
  }

  void setWaiting(Amounts newWaiting) {
    waiting = newWaiting;
  }

  void markCold(boolean newCold) {
    cold = newCold;
  }

  /** Returns whether the owner must keep extending what is held, or has demand to learn of. */
  boolean isActive() {
    return !grant.equals(Amounts.ZERO)
        || !running.equals(Amounts.ZERO)
        || !demand().equals(Amounts.ZERO);
  }

  /**
   * Applies a change and returns whether the holder may run less than before.
   *
   * @param source the coverage of the owner that sent the change
   */
  boolean apply(Grant.Entry entry, Coverage source) {
    if (entry.fencingNumber() < floorFencing || entry.fencingNumber() != source.fencingNumber()) {
      return false;
    }
    boolean smaller = !grant.fits(entry.grant()) || !slice.fits(entry.slice());
    coverage = source;
    floorFencing = entry.fencingNumber();
    grant = entry.grant();
    slice = entry.slice();
    cold = entry.cold();
    designated = entry.designated();
    return smaller;
  }

  /**
   * Returns the entry to report, or null when the owner needs none.
   *
   * @param to the coverage of the owner that receives the report
   */
  HolderReport.Entry report(Coverage to, long requestId, long ackedRequestId, long nowNanos) {
    // Grants of an earlier owner that are still on the way must not add to what is reported.
    floorFencing = Math.max(floorFencing, to.fencingNumber());
    rotate(nowNanos);
    HolderReport.Entry current = entry(nowNanos);
    boolean active = isActive();
    refused = Amounts.ZERO;
    boolean acknowledged = to.isCovered() && sentRequestId <= ackedRequestId;
    if (!to.isCovered() && !active) {
      sent = null;
      return null;
    }
    if (acknowledged && (sent == null ? !active : !isWorthSending(current))) {
      return null;
    }
    if (!current.equals(sent)) {
      sentRequestId = requestId;
    }
    sent = current;
    return current;
  }

  /** Returns whether the owner should hear of the present demand before the next request. */
  boolean isUrgent() {
    Amounts demand = demand();
    return !demand.fits(grant) && (sent == null || demandMatters(demand, sent.demand()));
  }

  /**
   * Small movements below the grant do not matter to the owner, which reserves the whole grant; a
   * report of each would cost a message entry for every request.
   */
  private boolean isWorthSending(HolderReport.Entry current) {
    boolean runningMatters =
        !running.equals(sent.running()) && (!running.fits(grant) || !sent.running().fits(grant));
    boolean lowWaterMatters =
        current.lowWater() < sent.lowWater() || current.lowWater() > 2 * sent.lowWater() + 1;
    return runningMatters
        || lowWaterMatters
        || demandMatters(current.demand(), sent.demand())
        || demandMatters(sent.demand(), current.demand());
  }

  /** Returns whether {@code more} is so much above {@code less} that the division may change. */
  private boolean demandMatters(Amounts more, Amounts less) {
    return matters(more.concurrent(), less.concurrent(), grant.concurrent())
        || matters(more.prefillTokens(), less.prefillTokens(), grant.prefillTokens())
        || matters(more.decodeTokens(), less.decodeTokens(), grant.decodeTokens());
  }

  private static boolean matters(long more, long less, long granted) {
    return more > less && ((more > granted && more - less > less / 8) || more > 2 * less);
  }

  private HolderReport.Entry entry(long nowNanos) {
    long fencing = coverage == null ? 0 : coverage.fencingNumber();
    // The slice counts even where a cold endpoint forbids its use, because that may change.
    boolean sliceCounts = coverage != null && coverage.isSliceValid(nowNanos);
    Amounts held = usable(nowNanos).max(sliceCounts ? slice : Amounts.ZERO);
    long lowWater = Math.min(bucketLow, previousLow);
    return new HolderReport.Entry(endpointId, fencing, held, running, lowWater, demand());
  }

  private Amounts usableSlice(long nowNanos) {
    boolean usable = coverage != null && coverage.isSliceValid(nowNanos) && (!cold || designated);
    return usable ? slice : Amounts.ZERO;
  }

  private Amounts demand() {
    return running.plus(waiting.max(refused));
  }

  private void rotate(long nowNanos) {
    if (nowNanos - bucketNanos >= BUCKET_NANOS) {
      previousLow = bucketLow;
      bucketLow = running.concurrent();
      bucketNanos = nowNanos;
    }
  }
}
