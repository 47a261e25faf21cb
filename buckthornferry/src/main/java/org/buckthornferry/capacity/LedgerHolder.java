package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.HolderReport;

/** The reservation of one holder in the ledger of one endpoint. */
final class LedgerHolder {
  private static final double SMOOTHING_FACTOR = 0.3;
  private static final long NOT_SENT = Long.MAX_VALUE;

  private final HolderSession session;
  private final GrantLedger ledger;
  private final List<IssuedAllocation> issued = new ArrayList<>();
  private Amounts running = Amounts.ZERO;
  private Amounts demand = Amounts.ZERO;
  private double smoothedDemand;
  private long withoutGrantSinceNanos;

  /** An allocation that the holder may use until it has acknowledged a newer one. */
  private static final class IssuedAllocation {
    private final Allocation allocation;
    private long grantId = NOT_SENT;
    private boolean everSent;

    private IssuedAllocation(Allocation allocation) {
      this.allocation = allocation;
    }
  }

  /** The grant and the fallback slice of a holder. */
  record Allocation(Amounts grant, Amounts slice, boolean cold, boolean designated) {
    static final Allocation NONE = new Allocation(Amounts.ZERO, Amounts.ZERO, false, false);

    Amounts reserved() {
      return grant.max(slice);
    }
  }

  LedgerHolder(HolderSession session, GrantLedger ledger, long nowNanos) {
    this.session = session;
    this.ledger = ledger;
    this.withoutGrantSinceNanos = nowNanos;
  }

  HolderSession session() {
    return session;
  }

  GrantLedger ledger() {
    return ledger;
  }

  Amounts demand() {
    return demand;
  }

  double weight() {
    return smoothedDemand + 0.01;
  }

  long withoutGrantSinceNanos() {
    return withoutGrantSinceNanos;
  }

  /** Returns the latest allocation, whether or not the holder has received it. */
  Allocation current() {
    return issued.isEmpty() ? Allocation.NONE : issued.get(issued.size() - 1).allocation;
  }

  /** Returns the maximum that the holder may run now or later under what was issued to it. */
  Amounts reserved() {
    Amounts reserved = running;
    for (IssuedAllocation each : issued) {
      reserved = reserved.max(each.allocation.reserved());
    }
    return reserved;
  }

  /** Adds what the holder still has from an earlier owner. */
  void transfer(Amounts held) {
    IssuedAllocation transferred =
        new IssuedAllocation(new Allocation(held, Amounts.ZERO, false, false));
    transferred.grantId = 0;
    transferred.everSent = true;
    issued.add(0, transferred);
  }

  void report(HolderReport.Entry entry) {
    running = entry.running();
    demand = entry.demand();
    smoothedDemand += SMOOTHING_FACTOR * (demand.concurrent() - smoothedDemand);
  }

  /** Removes allocations that the holder has replaced. */
  void acknowledge(long appliedGrantId) {
    for (int i = issued.size() - 1; i > 0; i--) {
      if (issued.get(i).grantId <= appliedGrantId) {
        issued.subList(0, i).clear();
        return;
      }
    }
  }

  /** Sets the allocation to send; {@code resend} sends it even if it is unchanged. */
  boolean issue(Allocation allocation, boolean resend, long nowNanos) {
    if (allocation.grant().concurrent() > 0) {
      withoutGrantSinceNanos = nowNanos;
    }
    if (!resend && allocation.equals(current())) {
      return false;
    }
    if (!issued.isEmpty() && !issued.get(issued.size() - 1).everSent) {
      issued.remove(issued.size() - 1);
    }
    issued.add(new IssuedAllocation(allocation));
    session.unacknowledged().add(this);
    return true;
  }

  /** Records that the message with the given id contains the latest allocation. */
  void markSent(long grantId) {
    IssuedAllocation newest = issued.get(issued.size() - 1);
    newest.everSent = true;
    newest.grantId = Math.min(newest.grantId, grantId);
  }

  /** Records that the message with the next id omits the latest allocation. */
  void markOmitted() {
    // Acknowledging that message must not acknowledge an allocation that was sent and lost.
    issued.get(issued.size() - 1).grantId = NOT_SENT;
  }

  boolean isAcknowledged(long appliedGrantId) {
    return issued.isEmpty() || issued.get(issued.size() - 1).grantId <= appliedGrantId;
  }

  /** Reduces the reservation of an unresponsive holder, after its grant has expired. */
  void capUnresponsive(long maxRunning, boolean sliceExpired) {
    Amounts cap = new Amounts(maxRunning, Amounts.UNLIMITED, Amounts.UNLIMITED);
    if (maxRunning == 0) {
      cap = Amounts.ZERO;
    }
    running = reserved().min(cap);
    Allocation last = current();
    Amounts slice = Amounts.ZERO;
    if (!sliceExpired) {
      for (IssuedAllocation each : issued) {
        slice = slice.max(each.allocation.slice());
      }
    }
    issued.clear();
    IssuedAllocation capped =
        new IssuedAllocation(new Allocation(Amounts.ZERO, slice, last.cold(), last.designated()));
    capped.everSent = true;
    issued.add(capped);
    // A holder that returns must receive this allocation before its old one is extended.
    session.unacknowledged().add(this);
  }
}
