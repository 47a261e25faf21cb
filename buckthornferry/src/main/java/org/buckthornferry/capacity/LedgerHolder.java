package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.HolderReport;

/** One holder in the ledger of one endpoint. */
final class LedgerHolder {
  private static final double SMOOTHING = 0.3;
  private static final long NOT_SENT = Long.MAX_VALUE;

  private final HolderSession session;
  private final GrantLedger ledger;
  private final List<Issued> issued = new ArrayList<>();
  private Amounts running = Amounts.ZERO;
  private Amounts demand = Amounts.ZERO;
  private double smoothedDemand;
  private long lowWater;
  private long withoutSinceNanos;

  /** A part that the holder may use from when it arrives until a newer one is acknowledged. */
  private static final class Issued {
    private final Part part;
    private long grantId = NOT_SENT;
    private boolean everSent;

    private Issued(Part part) {
      this.part = part;
    }
  }

  /** The holder's part of the budget. */
  record Part(Amounts grant, Amounts slice, boolean cold, boolean designated) {
    static final Part NONE = new Part(Amounts.ZERO, Amounts.ZERO, false, false);

    Amounts reserved() {
      return grant.max(slice);
    }
  }

  LedgerHolder(HolderSession session, GrantLedger ledger, long nowNanos) {
    this.session = session;
    this.ledger = ledger;
    this.withoutSinceNanos = nowNanos;
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

  long lowWater() {
    return lowWater;
  }

  long withoutSinceNanos() {
    return withoutSinceNanos;
  }

  /** Returns the newest part, whether or not it has arrived. */
  Part current() {
    return issued.isEmpty() ? Part.NONE : issued.get(issued.size() - 1).part;
  }

  /** Returns the most that the holder may run now or later by what it was given. */
  Amounts reserved() {
    Amounts reserved = running;
    for (Issued part : issued) {
      reserved = reserved.max(part.part.reserved());
    }
    return reserved;
  }

  /** Counts what the holder still has from an earlier owner. */
  void transfer(Amounts held) {
    Issued transferred = new Issued(new Part(held, Amounts.ZERO, false, false));
    transferred.grantId = 0;
    transferred.everSent = true;
    issued.add(0, transferred);
  }

  void report(HolderReport.Entry entry) {
    running = entry.running();
    lowWater = entry.lowWater();
    demand = entry.demand();
    smoothedDemand += SMOOTHING * (demand.concurrent() - smoothedDemand);
  }

  /** Forgets parts that the holder has replaced. */
  void acknowledge(long appliedGrantId) {
    for (int i = issued.size() - 1; i > 0; i--) {
      if (issued.get(i).grantId <= appliedGrantId) {
        issued.subList(0, i).clear();
        return;
      }
    }
  }

  /** Sets the part to send; {@code resend} sends it even when it is unchanged. */
  boolean issue(Part part, boolean resend, long nowNanos) {
    if (part.grant().concurrent() > 0) {
      withoutSinceNanos = nowNanos;
    }
    if (!resend && part.equals(current())) {
      return false;
    }
    if (!issued.isEmpty() && !issued.get(issued.size() - 1).everSent) {
      issued.remove(issued.size() - 1);
    }
    issued.add(new Issued(part));
    session.unacknowledged().add(this);
    return true;
  }

  /** Notes that the newest part is in the message with the given id. */
  void sentWith(long grantId) {
    Issued newest = issued.get(issued.size() - 1);
    newest.everSent = true;
    newest.grantId = Math.min(newest.grantId, grantId);
  }

  /** Notes that the message with the next id leaves out the newest part. */
  void leftOut() {
    // An acknowledgement of that message must not count as one of a part that was sent and lost.
    issued.get(issued.size() - 1).grantId = NOT_SENT;
  }

  boolean isAcknowledged(long appliedGrantId) {
    return issued.isEmpty() || issued.get(issued.size() - 1).grantId <= appliedGrantId;
  }

  /** Limits what a silent holder may still run, after its grant has expired. */
  void capSilent(long mostRunning, boolean sliceExpired) {
    Amounts cap = new Amounts(mostRunning, Amounts.UNLIMITED, Amounts.UNLIMITED);
    if (mostRunning == 0) {
      cap = Amounts.ZERO;
    }
    running = reserved().min(cap);
    Part last = current();
    Amounts slice = Amounts.ZERO;
    if (!sliceExpired) {
      for (Issued part : issued) {
        slice = slice.max(part.part.slice());
      }
    }
    issued.clear();
    Issued capped = new Issued(new Part(Amounts.ZERO, slice, last.cold(), last.designated()));
    capped.everSent = true;
    issued.add(capped);
    // A holder that returns must receive the part before a message extends what it had.
    session.unacknowledged().add(this);
  }
}
