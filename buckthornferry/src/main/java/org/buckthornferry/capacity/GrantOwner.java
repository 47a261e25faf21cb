package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.HolderReport;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwnership;
import org.buckthornferry.shard.ShardTenure;

/** Grants capacity to holders for the endpoint shards that this instance owns. */
final class GrantOwner {
  /** Keeps a message with long endpoint ids below the maximum frame size. */
  private static final int MAX_ENTRIES_PER_GRANT = 4_096;

  /** The budget of an endpoint that is no longer declared. */
  private static final EndpointBudget EMPTY_BUDGET = EndpointBudget.warm(Amounts.ZERO);

  private final long incarnation;
  private final ShardMap shards;
  private final CapacitySettings settings;
  private final BudgetSource budgets;
  private final ShardOwnership ownership;
  private final GrantSender grantSender;
  private final Map<Integer, ShardLedgers> ledgersByShard = new HashMap<>();
  private final Map<String, HolderSession> sessions = new HashMap<>();

  /** Sends a grant to a holder. */
  @FunctionalInterface
  interface GrantSender {
    void send(String holderId, Grant grant, long nowNanos);
  }

  /** Creates the owner side of one instance. */
  GrantOwner(
      long incarnation,
      int shardCount,
      CapacitySettings settings,
      BudgetSource budgets,
      ShardOwnership ownership,
      GrantSender grantSender) {
    this.incarnation = incarnation;
    this.shards = new ShardMap(shardCount, Map.of());
    this.settings = settings;
    this.budgets = budgets;
    this.ownership = ownership;
    this.grantSender = grantSender;
  }

  void onReport(String holderId, HolderReport report, long nowNanos) {
    HolderSession session = session(holderId, report.incarnation(), nowNanos);
    boolean wasUnresponsive = session != null && !session.isResponsive(settings, nowNanos);
    if (session == null || !session.acceptReport(report, incarnation, nowNanos)) {
      return;
    }
    acknowledge(session);
    Set<GrantLedger> changedLedgers = new LinkedHashSet<>();
    if (wasUnresponsive) {
      markReturned(session, changedLedgers);
    }
    applyEntries(session, report, changedLedgers, nowNanos);
    applyShards(session, report, nowNanos);
    for (HolderReport.Answer answer : report.answers()) {
      ShardLedgers shardLedgers = ledgersByShard.get(shardOf(answer.endpointId()));
      GrantLedger ledger =
          shardLedgers == null ? null : shardLedgers.ledgers().get(answer.endpointId());
      if (ledger != null) {
        ledger.onProbeAnswer(session, answer.minRunning(), nowNanos);
      }
    }
    for (GrantLedger ledger : changedLedgers) {
      divideIfDirty(ledger, nowNanos);
    }
    send(session, nowNanos);
  }

  /** Sends changes that the reports of other holders caused. */
  void push(long nowNanos) {
    for (HolderSession session : sessions.values()) {
      if (session.isPushRequested() && session.isResponsive(settings, nowNanos)) {
        send(session, nowNanos);
      }
    }
  }

  /** Applies changes of ownership, budgets and load samples, and ended holders. */
  void sweep(MembershipView view, long nowNanos) {
    for (HolderSession session : sessions.values()) {
      if (view.hasEnded(session.holderId(), session.incarnation())) {
        session.end(nowNanos);
      }
    }
    boolean provisional = ownership.isProvisional(nowNanos);
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      ShardLedgers shardLedgers = shardLedgers(shard);
      if (shardLedgers != null && ownership.ownsNow(ShardKind.ENDPOINT, shard, nowNanos)) {
        sweep(shardLedgers, view, provisional, nowNanos);
      }
    }
  }

  private void sweep(
      ShardLedgers shardLedgers, MembershipView view, boolean provisional, long nowNanos) {
    shardLedgers.markSwept(nowNanos);
    boolean completedNow = !provisional && shardLedgers.updateTakeover(view, settings, nowNanos);
    for (GrantLedger ledger : shardLedgers.ledgers().values()) {
      if (completedNow) {
        ledger.completeTakeover(unreportedHolders(ledger, nowNanos), nowNanos);
      }
      ledger.setBudget(budgets.budgetOf(ledger.endpointId()).orElse(EMPTY_BUDGET));
      // A provisional owner cannot tell an unresponsive holder from one that reports to a new
      // owner.
      if (!provisional) {
        budgets.loadOf(ledger.endpointId()).ifPresent(sample -> ledger.addSample(sample, nowNanos));
        ledger.reclaim(nowNanos);
      }
      divideIfDirty(ledger, nowNanos);
    }
  }

  /** Returns the reservations of the owned endpoints, for dumps. */
  Map<String, Amounts> reserved() {
    Map<String, Amounts> reserved = new HashMap<>();
    for (ShardLedgers shardLedgers : ledgersByShard.values()) {
      shardLedgers.ledgers().forEach((id, ledger) -> reserved.put(id, ledger.reserved()));
    }
    return reserved;
  }

  private HolderSession session(String holderId, long holderIncarnation, long nowNanos) {
    HolderSession session = sessions.get(holderId);
    if (session != null && session.incarnation() > holderIncarnation) {
      return null;
    }
    if (session == null || session.incarnation() < holderIncarnation) {
      if (session != null) {
        session.end(nowNanos);
      }
      session = new HolderSession(holderId, holderIncarnation, nowNanos);
      sessions.put(holderId, session);
    }
    return session;
  }

  /**
   * Marks the ledgers of a holder that is responsive again, so that they are divided before an
   * answer extends the old allocation.
   */
  private void markReturned(HolderSession session, Set<GrantLedger> changedLedgers) {
    for (ShardLedgers shardLedgers : ledgersByShard.values()) {
      for (GrantLedger ledger : shardLedgers.ledgers().values()) {
        if (ledger.markReturned(session)) {
          changedLedgers.add(ledger);
        }
      }
    }
  }

  private static void acknowledge(HolderSession session) {
    session
        .unacknowledged()
        .removeIf(
            holder -> {
              holder.ledger().acknowledge(holder);
              return holder.isAcknowledged(session.appliedGrantId());
            });
  }

  private void applyEntries(
      HolderSession session, HolderReport report, Set<GrantLedger> changedLedgers, long nowNanos) {
    Map<Integer, HolderReport.Shard> reported = new HashMap<>();
    report.shards().forEach(shard -> reported.put(shard.shard(), shard));
    for (HolderReport.Entry entry : report.entries()) {
      int shard = shardOf(entry.endpointId());
      HolderReport.Shard source = reported.get(shard);
      if (source == null || !isCurrentFencingNumber(shard, source.fencingNumber())) {
        continue;
      }
      ShardLedgers shardLedgers = shardLedgers(shard);
      GrantLedger ledger = ledger(shardLedgers, shard, entry.endpointId(), nowNanos);
      if (ledger != null) {
        ledger.report(
            session,
            entry,
            !source.complete() && shardLedgers.isOwnFencingNumber(entry.fencingNumber()),
            nowNanos);
        changedLedgers.add(ledger);
      }
    }
  }

  private void applyShards(HolderSession session, HolderReport report, long nowNanos) {
    Set<String> entries = new HashSet<>();
    report.entries().forEach(entry -> entries.add(entry.endpointId()));
    for (HolderReport.Shard shard : report.shards()) {
      if (!shard.complete() || !isCurrentFencingNumber(shard.shard(), shard.fencingNumber())) {
        continue;
      }
      ShardLedgers shardLedgers = shardLedgers(shard.shard());
      shardLedgers.addReporter(session);
      Long before = session.fencingByShard().put(shard.shard(), shard.fencingNumber());
      boolean resend = before == null || before != shard.fencingNumber();
      for (GrantLedger ledger : shardLedgers.ledgers().values()) {
        if (!entries.contains(ledger.endpointId())) {
          ledger.reportNothing(session);
        }
        if (resend) {
          ledger.resend(session, nowNanos);
        }
      }
    }
  }

  private void divideIfDirty(GrantLedger ledger, long nowNanos) {
    if (ledger.isDirty() && ownership.ownsNow(ShardKind.ENDPOINT, ledger.shard(), nowNanos)) {
      ledger.divide(ledgersByShard.get(ledger.shard()).mayIncrease(), nowNanos);
    }
  }

  private void send(HolderSession session, long nowNanos) {
    List<Grant.Shard> shards = new ArrayList<>();
    Map<Integer, Long> owned = new HashMap<>();
    session
        .fencingByShard()
        .forEach(
            (shard, fencing) -> {
              if (isCurrentFencingNumber(shard, fencing)
                  && ownership.ownsNow(ShardKind.ENDPOINT, shard, nowNanos)
                  && shardLedgers(shard).isUpToDate(nowNanos)) {
                shards.add(new Grant.Shard(shard, fencing));
                owned.put(shard, fencing);
              }
            });
    long grantId = session.nextGrantId(nowNanos);
    List<Grant.Entry> entries = new ArrayList<>();
    for (LedgerHolder holder : session.unacknowledged()) {
      Long fencing = owned.get(holder.ledger().shard());
      if (fencing == null || entries.size() >= MAX_ENTRIES_PER_GRANT) {
        holder.markOmitted();
        continue;
      }
      holder.markSent(grantId);
      entries.add(entry(holder, fencing));
    }
    List<Grant.Probe> probes = new ArrayList<>();
    for (GrantLedger ledger : session.probes()) {
      ledger
          .probeAgeNanos(nowNanos)
          .ifPresent(age -> probes.add(new Grant.Probe(ledger.endpointId(), age)));
    }
    session.probes().clear();
    grantSender.send(
        session.holderId(),
        new Grant(incarnation, grantId, session.lastRequestId(), shards, entries, probes),
        nowNanos);
  }

  private static Grant.Entry entry(LedgerHolder holder, long fencing) {
    LedgerHolder.Allocation allocation = holder.current();
    return new Grant.Entry(
        holder.ledger().endpointId(),
        fencing,
        allocation.grant(),
        allocation.slice(),
        allocation.cold(),
        allocation.designated());
  }

  private GrantLedger ledger(
      ShardLedgers shardLedgers, int shard, String endpointId, long nowNanos) {
    GrantLedger ledger = shardLedgers.ledgers().get(endpointId);
    if (ledger != null) {
      return ledger;
    }
    Optional<EndpointBudget> budget = budgets.budgetOf(endpointId);
    if (budget.isEmpty()) {
      return null;
    }
    ledger =
        new GrantLedger(endpointId, shard, budget.get(), shardLedgers.isFirstOwner(), settings);
    if (!shardLedgers.isFirstOwner() && shardLedgers.isTakeoverComplete()) {
      ledger.completeTakeover(unreportedHolders(ledger, nowNanos), nowNanos);
    }
    shardLedgers.ledgers().put(endpointId, ledger);
    return ledger;
  }

  /**
   * Returns a session that represents holders that ended without a report, or null without load
   * samples.
   */
  private HolderSession unreportedHolders(GrantLedger ledger, long nowNanos) {
    if (budgets.loadOf(ledger.endpointId()).isEmpty()) {
      return null;
    }
    HolderSession unreportedHolders = new HolderSession("", 0, nowNanos);
    unreportedHolders.end(nowNanos);
    return unreportedHolders;
  }

  /** Returns whether {@code fencing} is the current fencing number of a shard owned here. */
  private boolean isCurrentFencingNumber(int shard, long fencing) {
    Optional<ShardTenure> tenure = ownership.tenure(ShardKind.ENDPOINT, shard);
    return tenure.isPresent() && tenure.get().fencingNumber() == fencing;
  }

  /** Returns the current ledgers of a shard, or null when this process never owned it. */
  private ShardLedgers shardLedgers(int shard) {
    Optional<ShardTenure> tenure = ownership.tenure(ShardKind.ENDPOINT, shard);
    ShardLedgers shardLedgers = ledgersByShard.get(shard);
    if (tenure.isEmpty()) {
      return shardLedgers;
    }
    if (shardLedgers == null || !shardLedgers.isOf(tenure.get())) {
      if (shardLedgers != null) {
        forget(shardLedgers);
      }
      shardLedgers = new ShardLedgers(tenure.get());
      ledgersByShard.put(shard, shardLedgers);
    }
    return shardLedgers;
  }

  private void forget(ShardLedgers shardLedgers) {
    for (HolderSession session : sessions.values()) {
      session
          .unacknowledged()
          .removeIf(holder -> shardLedgers.ledgers().containsValue(holder.ledger()));
    }
  }

  private int shardOf(String endpointId) {
    return shards.shardOf(endpointId);
  }
}
