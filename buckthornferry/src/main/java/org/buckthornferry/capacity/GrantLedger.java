package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.HolderReport;
import org.buckthornferry.util.Checks;

/**
 * Divides the budget of one endpoint between the holders. A reservation covers what a holder may
 * run or may still be running; the sum of the reservations is kept within the budget. After the
 * budget was reduced, nothing more is granted until the sum is below it. Does no I/O: the caller
 * sends the messages.
 */
public final class GrantLedger {
  /** The maximum time from the start of a request at a holder to its arrival at the endpoint. */
  static final long MAX_DISPATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long to wait for answers to a probe. */
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /**
   * The consecutive load samples that must show that requests have ended. The unattributed count of
   * a single sample can be too low by the requests whose end has not yet reached their holder.
   */
  private static final int MIN_SAMPLES_TO_RECLAIM = 3;

  private final String endpointId;
  private final int shard;
  private final CapacitySettings settings;
  private final Map<HolderSession, LedgerHolder> holders = new LinkedHashMap<>();
  private final Map<HolderSession, Long> probeAnswers = new HashMap<>();
  private final ArrayDeque<LoadSample> unattributedSamples = new ArrayDeque<>();
  private EndpointBudget budget;
  private Amounts reportedTransfers = Amounts.ZERO;
  private boolean takeoverComplete;
  private long lastSampleNanos;
  private boolean hasSample;
  private LoadSample probedSample;
  private long probeStartNanos;
  private boolean dirty;
  private HolderSession designated;

  /**
   * Creates the ledger of an endpoint.
   *
   * @param takeoverComplete whether no unreported grant of an earlier owner can be outstanding
   */
  GrantLedger(
      String endpointId,
      int shard,
      EndpointBudget budget,
      boolean takeoverComplete,
      CapacitySettings settings) {
    this.endpointId = endpointId;
    this.shard = shard;
    this.budget = Checks.notNull(budget, "budget");
    this.takeoverComplete = takeoverComplete;
    this.settings = settings;
  }

  /** Returns the endpoint whose budget is divided. */
  public String endpointId() {
    return endpointId;
  }

  /** Returns the shard of the endpoint. */
  public int shard() {
    return shard;
  }

  /** Returns the budget in force. */
  public EndpointBudget budget() {
    return budget;
  }

  /** Returns the sum of the reservations. */
  public Amounts reserved() {
    Amounts reserved = Amounts.ZERO;
    for (LedgerHolder holder : holders.values()) {
      reserved = reserved.plus(holder.reserved());
    }
    return reserved;
  }

  /** Returns whether the budget must be divided again. */
  boolean isDirty() {
    return dirty;
  }

  void setBudget(EndpointBudget newBudget) {
    if (!newBudget.equals(budget)) {
      budget = newBudget;
      dirty = true;
    }
  }

  /**
   * Applies the reported state of a holder.
   *
   * @param alreadyCounted whether the reported grant was issued and is counted by this ledger
   */
  void report(
      HolderSession session, HolderReport.Entry entry, boolean alreadyCounted, long nowNanos) {
    LedgerHolder holder = holders.get(session);
    boolean first = holder == null;
    if (first) {
      holder = new LedgerHolder(session, this, nowNanos);
      holders.put(session, holder);
    }
    if (!alreadyCounted && !entry.held().fits(holder.reserved())) {
      holder.transfer(entry.held());
    }
    if (first) {
      reportedTransfers = reportedTransfers.plus(holder.reserved().max(entry.running()));
    }
    holder.report(entry);
    holder.acknowledge(session.appliedGrantId());
    Amounts grant = holder.current().grant();
    dirty |= !takeoverComplete || !entry.demand().fits(grant) || !entry.running().fits(grant);
  }

  /** Records that a holder is responsive again; returns whether it has an entry in this ledger. */
  boolean markReturned(HolderSession session) {
    boolean hasAllocation = holders.containsKey(session);
    dirty |= hasAllocation;
    return hasAllocation;
  }

  /**
   * Applies a complete report that omits this endpoint: the holder has no grant and runs nothing.
   */
  void reportNothing(HolderSession session) {
    LedgerHolder holder = holders.get(session);
    if (holder != null) {
      holder.report(
          new HolderReport.Entry(endpointId, 0, Amounts.ZERO, Amounts.ZERO, Amounts.ZERO));
      holder.acknowledge(session.appliedGrantId());
    }
  }

  /** Applies the acknowledgements in the latest report of a holder. */
  void acknowledge(LedgerHolder holder) {
    Amounts before = holder.reserved();
    holder.acknowledge(holder.session().appliedGrantId());
    dirty |= !before.fits(holder.reserved());
  }

  /**
   * Ends the takeover: no unreported grant of an earlier owner is valid any more.
   *
   * @param unreportedHolders stands for the requests that holders without a report may have left at
   *     the endpoint, until load samples show how many there are; null when there are no samples
   */
  void completeTakeover(HolderSession unreportedHolders, long nowNanos) {
    if (takeoverComplete) {
      return;
    }
    takeoverComplete = true;
    dirty = true;
    if (unreportedHolders != null) {
      LedgerHolder holder = new LedgerHolder(unreportedHolders, this, nowNanos);
      holder.transfer(budget.ceiling().minus(reserved()));
      holders.put(unreportedHolders, holder);
    }
  }

  /**
   * Adds a load sample. While an unresponsive holder may have left requests at the endpoint, probes
   * the other holders for what they ran when the sample was taken.
   */
  void addSample(LoadSample sample, long nowNanos) {
    if (hasSample && sample.sampledNanos() - lastSampleNanos <= 0) {
      return;
    }
    hasSample = true;
    lastSampleNanos = sample.sampledNanos();
    if (probedSample != null || !hasUnresponsiveReservation(nowNanos)) {
      return;
    }
    probedSample = sample;
    probeStartNanos = nowNanos;
    probeAnswers.clear();
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isResponsive(settings, nowNanos)) {
        holder.session().probes().add(this);
        holder.session().requestPush();
      }
    }
  }

  /** Returns the age of the probed load sample, or empty when no probe is open. */
  OptionalLong probeAgeNanos(long nowNanos) {
    return probedSample == null
        ? OptionalLong.empty()
        : OptionalLong.of(nowNanos - probedSample.sampledNanos());
  }

  /** Accepts an answer to the open probe if its round trip was short enough to date it. */
  void onProbeAnswer(HolderSession session, long minRunning, long nowNanos) {
    OptionalLong sentNanos = session.appliedSentNanos();
    if (probedSample != null
        && sentNanos.isPresent()
        && sentNanos.getAsLong() - probeStartNanos >= 0
        && nowNanos - sentNanos.getAsLong() <= RunningHistory.MAX_ROUND_TRIP_NANOS) {
      probeAnswers.put(session, minRunning);
    }
  }

  private boolean hasUnresponsiveReservation(long nowNanos) {
    for (LedgerHolder holder : holders.values()) {
      if (!holder.session().isResponsive(settings, nowNanos)
          && holder.reserved().concurrent() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Releases what unresponsive holders no longer run, according to the load samples. */
  void reclaim(long nowNanos) {
    if (probedSample != null && nowNanos - probeStartNanos >= PROBE_TIMEOUT_NANOS) {
      evaluate(probedSample);
      probedSample = null;
    }
    if (!hasSample || nowNanos - lastSampleNanos > settings.fallbackValidNanos()) {
      reclaimWithoutSamples(nowNanos);
    }
    boolean removed =
        holders
            .values()
            .removeIf(
                holder -> holder.session().isEnded() && holder.reserved().equals(Amounts.ZERO));
    dirty |= removed;
  }

  private void evaluate(LoadSample sample) {
    long attributed = 0;
    for (long answer : probeAnswers.values()) {
      attributed += answer;
    }
    long unattributed = Math.max(0, sample.running() - attributed);
    unattributedSamples.addLast(new LoadSample(unattributed, sample.sampledNanos()));
    if (unattributedSamples.size() < MIN_SAMPLES_TO_RECLAIM) {
      return;
    }
    long maxUnattributed = 0;
    for (LoadSample each : unattributedSamples) {
      maxUnattributed = Math.max(maxUnattributed, each.running());
    }
    long nanos = unattributedSamples.removeFirst().sampledNanos() - MAX_DISPATCH_NANOS;
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isGrantExpiredAt(nanos, settings)) {
        Amounts before = holder.reserved();
        holder.capUnresponsive(maxUnattributed, holder.session().isSliceExpiredAt(nanos, settings));
        dirty |= !before.fits(holder.reserved());
      }
    }
  }

  /**
   * Releases reservations after twice the longest validity, when no load samples show what runs.
   */
  private void reclaimWithoutSamples(long nowNanos) {
    long nanos = nowNanos - settings.fallbackValidNanos();
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isGrantExpiredAt(nanos, settings)
          && holder.session().isSliceExpiredAt(nanos, settings)) {
        holder.capUnresponsive(0, true);
      }
    }
  }

  /**
   * Divides the budget between the responsive holders.
   *
   * @param mayIncrease whether a holder may be granted more than its reservation
   */
  void divide(boolean mayIncrease, long nowNanos) {
    dirty = !mayIncrease;
    List<LedgerHolder> responsive = new ArrayList<>();
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isResponsive(settings, nowNanos)) {
        responsive.add(holder);
      }
    }
    if (responsive.isEmpty()) {
      return;
    }
    Amounts limit = limit();
    BudgetDivision division =
        new BudgetDivision(responsive, servingOrder(responsive), limit, reserved(), mayIncrease);
    List<Amounts> grants = division.grants();
    designate(responsive);
    List<Amounts> slices = slices(responsive, grants);
    for (int i = 0; i < responsive.size(); i++) {
      LedgerHolder holder = responsive.get(i);
      LedgerHolder.Allocation allocation =
          new LedgerHolder.Allocation(
              grants.get(i),
              slices.get(i),
              budget.cold(),
              budget.cold() && holder.session().equals(designated));
      if (holder.issue(allocation, false, nowNanos)) {
        holder.session().requestPush();
      }
    }
  }

  /** Returns the limit to divide, without what an earlier owner may still have granted. */
  private Amounts limit() {
    if (takeoverComplete) {
      return budget.limit();
    }
    Amounts unreported = budget.ceiling().minus(reportedTransfers);
    Amounts left =
        new Amounts(
            remaining(budget.limit().concurrent(), unreported.concurrent()),
            remaining(budget.limit().prefillTokens(), unreported.prefillTokens()),
            remaining(budget.limit().decodeTokens(), unreported.decodeTokens()));
    return left;
  }

  private static long remaining(long limit, long unreported) {
    return limit == Amounts.UNLIMITED ? limit : Math.max(0, limit - unreported);
  }

  /** Sends the allocation of a holder again, under the current fencing number. */
  void resend(HolderSession session, long nowNanos) {
    LedgerHolder holder = holders.get(session);
    if (holder != null) {
      holder.issue(holder.current(), true, nowNanos);
    }
  }

  /** Returns the indexes of the holders; those longest without a grant come first. */
  private static int[] servingOrder(List<LedgerHolder> responsive) {
    return IntStream.range(0, responsive.size())
        .boxed()
        .sorted(
            Comparator.<Integer>comparingLong(i -> responsive.get(i).withoutGrantSinceNanos())
                .thenComparing(i -> responsive.get(i).session().holderId()))
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private void designate(List<LedgerHolder> responsive) {
    if (!budget.cold()) {
      designated = null;
      return;
    }
    LedgerHolder best = null;
    for (LedgerHolder holder : responsive) {
      if (holder.session().equals(designated)) {
        return;
      }
      if (best == null || holder.weight() > best.weight()) {
        best = holder;
      }
    }
    designated = best == null ? null : best.session();
  }

  /** Returns the fallback slices: at most the grants, and at most half of the budget in total. */
  private List<Amounts> slices(List<LedgerHolder> responsive, List<Amounts> grants) {
    Amounts available = half(budget.limit());
    double totalWeight = 0;
    for (LedgerHolder holder : holders.values()) {
      if (!responsive.contains(holder)) {
        available = available.minus(holder.current().slice());
      } else {
        totalWeight += holder.weight();
      }
    }
    List<Amounts> slices = new ArrayList<>();
    for (int i = 0; i < responsive.size(); i++) {
      double share = responsive.get(i).weight() / totalWeight;
      if (budget.cold()) {
        share = responsive.get(i).session().equals(designated) ? 1 : 0;
      }
      slices.add(scale(available, share).min(grants.get(i)));
    }
    return slices;
  }

  private static Amounts half(Amounts amounts) {
    return scale(amounts, 0.5);
  }

  private static Amounts scale(Amounts amounts, double share) {
    return new Amounts(
        scale(amounts.concurrent(), share),
        scale(amounts.prefillTokens(), share),
        scale(amounts.decodeTokens(), share));
  }

  private static long scale(long amount, double share) {
    if (amount == Amounts.UNLIMITED) {
      return share > 0 ? Amounts.UNLIMITED : 0;
    }
    return (long) Math.floor(amount * share + 1e-9);
  }
}
