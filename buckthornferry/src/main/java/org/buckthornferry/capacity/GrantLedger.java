package org.buckthornferry.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.HolderReport;
import org.buckthornferry.util.Checks;

/**
 * Divides the budget of one endpoint between the holders. Keeps the sum over the holders of what
 * each may run and of what it may still be running at most at the budget; after the budget fell, it
 * gives nothing more until the sum is below it. Pure state: the caller moves the messages.
 */
public final class GrantLedger {
  /** A sample is used this late, when the reports of the holders that cover its time are there. */
  static final long SAMPLE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(650);

  /** The time a request may take from its start at the holder to the endpoint. */
  static final long DISPATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The span that a low-water mark covers before its report, less 5% for drift and rounding. */
  private static final long MARK_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(950);

  private static final int MAX_SAMPLES = 16;

  /**
   * So many samples in a row must show that requests have ended. One alone can be too low by the
   * requests whose end a holder has not yet heard of.
   */
  private static final int SAMPLES_TO_RECLAIM = 5;

  private final String endpointId;
  private final int shard;
  private final CapacitySettings settings;
  private final Map<HolderSession, LedgerHolder> holders = new LinkedHashMap<>();
  private final ArrayDeque<LoadSample> samples = new ArrayDeque<>();
  private final ArrayDeque<LoadSample> evaluated = new ArrayDeque<>();
  private EndpointBudget budget;
  private Amounts transferred = Amounts.ZERO;
  private boolean settled;
  private long lastSampleNanos;
  private boolean sampled;
  private boolean dirty;
  private HolderSession designated;

  /**
   * Creates the ledger of an endpoint.
   *
   * @param settled whether no earlier owner can have given anything that nobody reported
   */
  GrantLedger(
      String endpointId,
      int shard,
      EndpointBudget budget,
      boolean settled,
      CapacitySettings settings) {
    this.endpointId = endpointId;
    this.shard = shard;
    this.budget = Checks.notNull(budget, "budget");
    this.settled = settled;
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

  /** Returns what is reserved for all holders. */
  public Amounts reserved() {
    Amounts reserved = Amounts.ZERO;
    for (LedgerHolder holder : holders.values()) {
      reserved = reserved.plus(holder.reserved());
    }
    return reserved;
  }

  /** Returns whether there is reason to divide the budget again. */
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
   * Takes over the state of a holder.
   *
   * @param heldIsKnown whether the reported grant is one that this ledger counts already
   */
  void report(HolderSession session, HolderReport.Entry entry, boolean heldIsKnown, long nowNanos) {
    LedgerHolder holder = holders.get(session);
    boolean first = holder == null;
    if (first) {
      holder = new LedgerHolder(session, this, nowNanos);
      holders.put(session, holder);
    }
    if (!heldIsKnown && !entry.held().fits(holder.reserved())) {
      holder.transfer(entry.held());
    }
    if (first) {
      transferred = transferred.plus(holder.reserved().max(entry.running()));
    }
    holder.report(entry);
    holder.acknowledge(session.appliedGrantId());
    Amounts grant = holder.current().grant();
    dirty |= !settled || !entry.demand().fits(grant) || !entry.running().fits(grant);
  }

  /** Notes that a holder answers again; returns whether it has a part of this budget. */
  boolean markReturned(HolderSession session) {
    boolean holds = holders.containsKey(session);
    dirty |= holds;
    return holds;
  }

  /** Takes a complete report without this endpoint: the holder has and runs nothing here. */
  void reportNothing(HolderSession session) {
    LedgerHolder holder = holders.get(session);
    if (holder != null) {
      holder.report(
          new HolderReport.Entry(endpointId, 0, Amounts.ZERO, Amounts.ZERO, 0, Amounts.ZERO));
      holder.acknowledge(session.appliedGrantId());
    }
  }

  /** Notes that the holder has acknowledged messages up to its newest report. */
  void acknowledge(LedgerHolder holder) {
    Amounts before = holder.reserved();
    holder.acknowledge(holder.session().appliedGrantId());
    dirty |= !before.fits(holder.reserved());
  }

  /**
   * Notes that nothing of an earlier owner is left unreported.
   *
   * @param orphans stands for requests that a holder without report may have left at the endpoint,
   *     until a load sample shows how many there are; null when there are no samples
   */
  void settle(HolderSession orphans, long nowNanos) {
    if (settled) {
      return;
    }
    settled = true;
    dirty = true;
    if (orphans != null) {
      LedgerHolder holder = new LedgerHolder(orphans, this, nowNanos);
      holder.transfer(budget.limit().minus(reserved()));
      holders.put(orphans, holder);
    }
  }

  /** Queues a load sample until the reports that cover its time have arrived. */
  void addSample(LoadSample sample) {
    if (sampled && sample.sampledNanos() - lastSampleNanos <= 0) {
      return;
    }
    sampled = true;
    lastSampleNanos = sample.sampledNanos();
    samples.addLast(sample);
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Frees what silent holders no longer run, by the load samples of the endpoint. */
  void reclaim(long nowNanos) {
    while (!samples.isEmpty()
        && nowNanos - samples.peekFirst().sampledNanos() >= SAMPLE_DELAY_NANOS) {
      apply(samples.removeFirst());
    }
    if (!sampled || nowNanos - lastSampleNanos > settings.fallbackValidNanos()) {
      dropWithoutSamples(nowNanos);
    }
    boolean removed =
        holders
            .values()
            .removeIf(
                holder -> holder.session().isEnded() && holder.reserved().equals(Amounts.ZERO));
    dirty |= removed;
  }

  private void apply(LoadSample sample) {
    long known = 0;
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isLowWaterValidAt(sample.sampledNanos(), MARK_SPAN_NANOS)) {
        known += holder.lowWater();
      }
    }
    long unknown = Math.max(0, sample.running() - known);
    evaluated.addLast(new LoadSample(unknown, sample.sampledNanos()));
    if (evaluated.size() < SAMPLES_TO_RECLAIM) {
      return;
    }
    long mostUnknown = 0;
    for (LoadSample each : evaluated) {
      mostUnknown = Math.max(mostUnknown, each.running());
    }
    long nanos = evaluated.removeFirst().sampledNanos() - DISPATCH_NANOS;
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isGrantExpiredAt(nanos, settings)) {
        Amounts before = holder.reserved();
        holder.capSilent(mostUnknown, holder.session().isSliceExpiredAt(nanos, settings));
        dirty |= !before.fits(holder.reserved());
      }
    }
  }

  /** Frees what a holder has after twice the longest validity, when nothing tells its requests. */
  private void dropWithoutSamples(long nowNanos) {
    long nanos = nowNanos - settings.fallbackValidNanos();
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isGrantExpiredAt(nanos, settings)
          && holder.session().isSliceExpiredAt(nanos, settings)) {
        holder.capSilent(0, true);
      }
    }
  }

  /**
   * Divides the budget again when there is a reason.
   *
   * @param mayRaise whether anyone may be given more than it has
   */
  void divide(boolean mayRaise, long nowNanos) {
    dirty = !mayRaise;
    List<LedgerHolder> talking = new ArrayList<>();
    for (LedgerHolder holder : holders.values()) {
      if (holder.session().isTalking(settings, nowNanos)) {
        talking.add(holder);
      }
    }
    if (talking.isEmpty()) {
      return;
    }
    Amounts limit = limit();
    Division division = new Division(talking, order(talking), limit, reserved(), mayRaise);
    List<Amounts> grants = division.grants();
    designate(talking);
    List<Amounts> slices = slices(talking, grants);
    for (int i = 0; i < talking.size(); i++) {
      LedgerHolder holder = talking.get(i);
      LedgerHolder.Part part =
          new LedgerHolder.Part(
              grants.get(i),
              slices.get(i),
              budget.cold(),
              budget.cold() && holder.session().equals(designated));
      if (holder.issue(part, false, nowNanos)) {
        holder.session().wantPush();
      }
    }
  }

  /** Returns what may be divided: not what an earlier owner may have given to others. */
  private Amounts limit() {
    if (settled) {
      return budget.limit();
    }
    Amounts unreported = budget.ceiling().minus(transferred);
    Amounts left =
        new Amounts(
            left(budget.limit().concurrent(), unreported.concurrent()),
            left(budget.limit().prefillTokens(), unreported.prefillTokens()),
            left(budget.limit().decodeTokens(), unreported.decodeTokens()));
    return left;
  }

  private static long left(long limit, long unreported) {
    return limit == Amounts.UNLIMITED ? limit : Math.max(0, limit - unreported);
  }

  /** Sends every part of a holder again, under the present fencing number. */
  void resend(HolderSession session, long nowNanos) {
    LedgerHolder holder = holders.get(session);
    if (holder != null) {
      holder.issue(holder.current(), true, nowNanos);
    }
  }

  /** Returns the indexes of the holders; those that wait longest without a grant come first. */
  private static int[] order(List<LedgerHolder> talking) {
    return IntStream.range(0, talking.size())
        .boxed()
        .sorted(
            Comparator.<Integer>comparingLong(i -> talking.get(i).withoutSinceNanos())
                .thenComparing(i -> talking.get(i).session().holderId()))
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private void designate(List<LedgerHolder> talking) {
    if (!budget.cold()) {
      designated = null;
      return;
    }
    LedgerHolder best = null;
    for (LedgerHolder holder : talking) {
      if (holder.session().equals(designated)) {
        return;
      }
      if (best == null || holder.weight() > best.weight()) {
        best = holder;
      }
    }
    designated = best == null ? null : best.session();
  }

  /** Returns the fallback slices: at most the grants, and at most half of the budget in all. */
  private List<Amounts> slices(List<LedgerHolder> talking, List<Amounts> grants) {
    Amounts pot = half(budget.limit());
    double totalWeight = 0;
    for (LedgerHolder holder : holders.values()) {
      if (!talking.contains(holder)) {
        pot = pot.minus(holder.current().slice());
      } else {
        totalWeight += holder.weight();
      }
    }
    List<Amounts> slices = new ArrayList<>();
    for (int i = 0; i < talking.size(); i++) {
      double share = talking.get(i).weight() / totalWeight;
      if (budget.cold()) {
        share = talking.get(i).session().equals(designated) ? 1 : 0;
      }
      slices.add(scale(pot, share).min(grants.get(i)));
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
