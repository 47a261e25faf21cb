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

/** Answers the reports of holders for the endpoint shards that this instance owns. */
final class GrantOwner {
  /** Keeps grants of long endpoint ids below the largest frame. */
  private static final int MAX_ENTRIES = 4_096;

  /** The budget of an endpoint that is no longer declared. */
  private static final EndpointBudget NO_BUDGET = EndpointBudget.warm(Amounts.ZERO);

  private final long incarnation;
  private final ShardMap shards;
  private final CapacitySettings settings;
  private final BudgetSource budgets;
  private final ShardOwnership ownership;
  private final GrantOutput output;
  private final Map<Integer, Tenancy> tenancies = new HashMap<>();
  private final Map<String, HolderSession> sessions = new HashMap<>();

  /** Sends a grant to a holder. */
  @FunctionalInterface
  interface GrantOutput {
    void send(String holderId, Grant grant, long nowNanos);
  }

  /** Creates the owner's side of one instance. */
  GrantOwner(
      long incarnation,
      int shardCount,
      CapacitySettings settings,
      BudgetSource budgets,
      ShardOwnership ownership,
      GrantOutput output) {
    this.incarnation = incarnation;
    this.shards = new ShardMap(shardCount, Map.of());
    this.settings = settings;
    this.budgets = budgets;
    this.ownership = ownership;
    this.output = output;
  }

  void onReport(String holderId, HolderReport report, long nowNanos) {
    HolderSession session = session(holderId, report.incarnation(), nowNanos);
    boolean returned = session != null && !session.isTalking(settings, nowNanos);
    if (session == null || !session.received(report, incarnation, nowNanos)) {
      return;
    }
    acknowledge(session);
    Set<GrantLedger> touched = new LinkedHashSet<>();
    if (returned) {
      touchLedgers(session, touched);
    }
    takeEntries(session, report, touched, nowNanos);
    takeShards(session, report, nowNanos);
    for (HolderReport.Answer answer : report.answers()) {
      Tenancy tenancy = tenancies.get(shardOf(answer.endpointId()));
      GrantLedger ledger = tenancy == null ? null : tenancy.ledgers().get(answer.endpointId());
      if (ledger != null) {
        ledger.answered(session, answer.minRunning(), nowNanos);
      }
    }
    for (GrantLedger ledger : touched) {
      divideWhenDirty(ledger, nowNanos);
    }
    send(session, nowNanos);
  }

  /** Sends changes that arose from the reports of others. */
  void push(long nowNanos) {
    for (HolderSession session : sessions.values()) {
      if (session.isPushWanted() && session.isTalking(settings, nowNanos)) {
        send(session, nowNanos);
      }
    }
  }

  /** Follows ownership, budgets, load samples and the ends of holders. */
  void sweep(MembershipView view, long nowNanos) {
    for (HolderSession session : sessions.values()) {
      if (view.hasEnded(session.holderId(), session.incarnation())) {
        session.end(nowNanos);
      }
    }
    boolean provisional = ownership.isProvisional(nowNanos);
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      Tenancy tenancy = tenancy(shard);
      if (tenancy != null && ownership.ownsNow(ShardKind.ENDPOINT, shard, nowNanos)) {
        sweep(tenancy, view, provisional, nowNanos);
      }
    }
  }

  private void sweep(Tenancy tenancy, MembershipView view, boolean provisional, long nowNanos) {
    tenancy.swept(nowNanos);
    boolean settledNow = !provisional && tenancy.update(view, settings, nowNanos);
    for (GrantLedger ledger : tenancy.ledgers().values()) {
      if (settledNow) {
        ledger.settle(orphans(ledger, nowNanos), nowNanos);
      }
      ledger.setBudget(budgets.budgetOf(ledger.endpointId()).orElse(NO_BUDGET));
      // A provisional owner cannot tell a silent holder from one that reports to a new owner.
      if (!provisional) {
        budgets.loadOf(ledger.endpointId()).ifPresent(sample -> ledger.addSample(sample, nowNanos));
        ledger.reclaim(nowNanos);
      }
      divideWhenDirty(ledger, nowNanos);
    }
  }

  /** Returns the ledgers of the shards with a tenure, for dumps. */
  Map<String, Amounts> reserved() {
    Map<String, Amounts> reserved = new HashMap<>();
    for (Tenancy tenancy : tenancies.values()) {
      tenancy.ledgers().forEach((id, ledger) -> reserved.put(id, ledger.reserved()));
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

  /** Divides again what a silent holder has, before the answer extends it unchanged. */
  private void touchLedgers(HolderSession session, Set<GrantLedger> touched) {
    for (Tenancy tenancy : tenancies.values()) {
      for (GrantLedger ledger : tenancy.ledgers().values()) {
        if (ledger.markReturned(session)) {
          touched.add(ledger);
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

  private void takeEntries(
      HolderSession session, HolderReport report, Set<GrantLedger> touched, long nowNanos) {
    Map<Integer, HolderReport.Shard> reported = new HashMap<>();
    report.shards().forEach(shard -> reported.put(shard.shard(), shard));
    for (HolderReport.Entry entry : report.entries()) {
      int shard = shardOf(entry.endpointId());
      HolderReport.Shard source = reported.get(shard);
      if (source == null || !accepts(shard, source.fencingNumber())) {
        continue;
      }
      Tenancy tenancy = tenancy(shard);
      GrantLedger ledger = ledger(tenancy, shard, entry.endpointId(), nowNanos);
      if (ledger != null) {
        ledger.report(
            session, entry, !source.complete() && tenancy.issued(entry.fencingNumber()), nowNanos);
        touched.add(ledger);
      }
    }
  }

  private void takeShards(HolderSession session, HolderReport report, long nowNanos) {
    Set<String> entries = new HashSet<>();
    report.entries().forEach(entry -> entries.add(entry.endpointId()));
    for (HolderReport.Shard shard : report.shards()) {
      if (!shard.complete() || !accepts(shard.shard(), shard.fencingNumber())) {
        continue;
      }
      Tenancy tenancy = tenancy(shard.shard());
      tenancy.reportedBy(session);
      Long before = session.fencingByShard().put(shard.shard(), shard.fencingNumber());
      boolean resend = before == null || before != shard.fencingNumber();
      for (GrantLedger ledger : tenancy.ledgers().values()) {
        if (!entries.contains(ledger.endpointId())) {
          ledger.reportNothing(session);
        }
        if (resend) {
          ledger.resend(session, nowNanos);
        }
      }
    }
  }

  private void divideWhenDirty(GrantLedger ledger, long nowNanos) {
    if (ledger.isDirty() && ownership.ownsNow(ShardKind.ENDPOINT, ledger.shard(), nowNanos)) {
      ledger.divide(tenancies.get(ledger.shard()).mayRaise(), nowNanos);
    }
  }

  private void send(HolderSession session, long nowNanos) {
    List<Grant.Shard> shards = new ArrayList<>();
    Map<Integer, Long> owned = new HashMap<>();
    session
        .fencingByShard()
        .forEach(
            (shard, fencing) -> {
              if (accepts(shard, fencing)
                  && ownership.ownsNow(ShardKind.ENDPOINT, shard, nowNanos)
                  && tenancy(shard).isFresh(nowNanos)) {
                shards.add(new Grant.Shard(shard, fencing));
                owned.put(shard, fencing);
              }
            });
    long grantId = session.nextGrantId(nowNanos);
    List<Grant.Entry> entries = new ArrayList<>();
    for (LedgerHolder holder : session.unacknowledged()) {
      Long fencing = owned.get(holder.ledger().shard());
      if (fencing == null || entries.size() >= MAX_ENTRIES) {
        holder.leftOut();
        continue;
      }
      holder.sentWith(grantId);
      entries.add(entry(holder, fencing));
    }
    List<Grant.Probe> probes = new ArrayList<>();
    for (GrantLedger ledger : session.probes()) {
      ledger
          .probeAgeNanos(nowNanos)
          .ifPresent(age -> probes.add(new Grant.Probe(ledger.endpointId(), age)));
    }
    session.probes().clear();
    output.send(
        session.holderId(),
        new Grant(incarnation, grantId, session.lastRequestId(), shards, entries, probes),
        nowNanos);
  }

  private static Grant.Entry entry(LedgerHolder holder, long fencing) {
    LedgerHolder.Part part = holder.current();
    return new Grant.Entry(
        holder.ledger().endpointId(),
        fencing,
        part.grant(),
        part.slice(),
        part.cold(),
        part.designated());
  }

  private GrantLedger ledger(Tenancy tenancy, int shard, String endpointId, long nowNanos) {
    GrantLedger ledger = tenancy.ledgers().get(endpointId);
    if (ledger != null) {
      return ledger;
    }
    Optional<EndpointBudget> budget = budgets.budgetOf(endpointId);
    if (budget.isEmpty()) {
      return null;
    }
    ledger = new GrantLedger(endpointId, shard, budget.get(), tenancy.isNew(), settings);
    if (!tenancy.isNew() && tenancy.isSettled()) {
      ledger.settle(orphans(ledger, nowNanos), nowNanos);
    }
    tenancy.ledgers().put(endpointId, ledger);
    return ledger;
  }

  /** Returns a stand-in for holders that ended without a report, or null without load samples. */
  private HolderSession orphans(GrantLedger ledger, long nowNanos) {
    if (budgets.loadOf(ledger.endpointId()).isEmpty()) {
      return null;
    }
    HolderSession orphans = new HolderSession("", 0, nowNanos);
    orphans.end(nowNanos);
    return orphans;
  }

  /** Returns whether a holder that reports under {@code fencing} reports to present ledgers. */
  private boolean accepts(int shard, long fencing) {
    Optional<ShardTenure> tenure = ownership.tenure(ShardKind.ENDPOINT, shard);
    return tenure.isPresent() && tenure.get().fencingNumber() == fencing;
  }

  /** Returns the present ledgers of a shard, or null when this process never owned it. */
  private Tenancy tenancy(int shard) {
    Optional<ShardTenure> tenure = ownership.tenure(ShardKind.ENDPOINT, shard);
    Tenancy tenancy = tenancies.get(shard);
    if (tenure.isEmpty()) {
      return tenancy;
    }
    if (tenancy == null || !tenancy.isOf(tenure.get())) {
      if (tenancy != null) {
        forget(tenancy);
      }
      tenancy = new Tenancy(tenure.get());
      tenancies.put(shard, tenancy);
    }
    return tenancy;
  }

  private void forget(Tenancy tenancy) {
    for (HolderSession session : sessions.values()) {
      session.unacknowledged().removeIf(holder -> tenancy.ledgers().containsValue(holder.ledger()));
    }
  }

  private int shardOf(String endpointId) {
    return shards.shardOf(endpointId);
  }
}
