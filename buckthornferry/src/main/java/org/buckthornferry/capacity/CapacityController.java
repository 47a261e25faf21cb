package org.buckthornferry.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.Grant;
import org.buckthornferry.peer.GrantAck;
import org.buckthornferry.peer.GrantRequest;
import org.buckthornferry.peer.HolderReport;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.buckthornferry.shard.ShardOwnership;

/**
 * Exchanges capacity grants between instances: requests them from the owners of the endpoints that
 * this instance uses, and grants them for the endpoints whose shards this instance owns. Writes
 * {@link HeldGrants#ENTRY}.
 */
public final class CapacityController implements Controller {
  /** The period of the sweeps over budgets, load samples and ended holders. */
  private static final long SWEEP_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The minimum interval of reports to one owner that are sent early because of new demand. */
  private static final long MIN_URGENT_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final long PUBLISH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String selfId;
  private final long incarnation;
  private final CapacitySettings settings;
  private final GrantHolder holder;
  private final GrantOwner owner;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final Consumer<HeldGrants> writer;
  private final Map<String, OwnerSession> ownerSessions = new HashMap<>();
  private ShardMap appliedMap = ShardMap.EMPTY;
  private long lastRequestId;
  private long lastSweepNanos;
  private long lastPublishNanos;
  private boolean swept;
  private boolean published;

  /**
   * Creates the controller of one instance.
   *
   * @param incarnation the start time of this process, in milliseconds since the epoch
   * @param holder decides which requests may start at this instance; also used by routing
   */
  public CapacityController(
      String selfId,
      long incarnation,
      CapacitySettings settings,
      GrantHolder holder,
      BudgetSource budgets,
      ShardOwnership ownership,
      Blackboard blackboard,
      PeerSender sender) {
    this.selfId = selfId;
    this.incarnation = incarnation;
    this.settings = settings;
    this.holder = holder;
    this.blackboard = blackboard;
    this.sender = sender;
    this.writer = blackboard.writerOf(HeldGrants.ENTRY);
    this.owner =
        new GrantOwner(
            incarnation, holder.shardCount(), settings, budgets, ownership, this::sendGrant);
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (message instanceof GrantRequest request) {
      sweepIfDue(nowNanos);
      owner.onReport(fromInstanceId, request.report(), nowNanos);
    } else if (message instanceof GrantAck ack) {
      sweepIfDue(nowNanos);
      owner.onReport(fromInstanceId, ack.report(), nowNanos);
    } else if (message instanceof Grant grant) {
      apply(fromInstanceId, grant, nowNanos);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    if (!map.equals(appliedMap)) {
      appliedMap = map;
      applyShardMap(map);
    }
    sweepIfDue(nowNanos);
    sendDueReports(nowNanos);
    owner.push(nowNanos);
    if (!published || nowNanos - lastPublishNanos >= PUBLISH_PERIOD_NANOS) {
      published = true;
      lastPublishNanos = nowNanos;
      writer.accept(new HeldGrants(holder.snapshot(nowNanos)));
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("owners", ownerSessions.keySet().stream().sorted().toList());
    Map<String, Object> reserved = new LinkedHashMap<>();
    owner.reserved().forEach((id, amounts) -> reserved.put(id, amounts.concurrent()));
    dump.put("reserved", reserved);
    return dump;
  }

  /** Also runs before each answer, so that a process that was paused never grants an old budget. */
  private void sweepIfDue(long nowNanos) {
    if (!swept || nowNanos - lastSweepNanos >= SWEEP_PERIOD_NANOS) {
      swept = true;
      lastSweepNanos = nowNanos;
      owner.sweep(blackboard.read(MembershipView.ENTRY), nowNanos);
    }
  }

  private void applyShardMap(ShardMap map) {
    Map<ShardOwner, Map<Integer, Long>> byOwner = new HashMap<>();
    map.owners()
        .getOrDefault(ShardKind.ENDPOINT, Map.of())
        .forEach(
            (shard, shardOwner) ->
                byOwner
                    .computeIfAbsent(
                        new ShardOwner(shardOwner.instanceId(), shardOwner.incarnation(), 1),
                        key -> new HashMap<>())
                    .put(shard, shardOwner.fencingNumber()));
    Map<String, OwnerSession> previous = Map.copyOf(ownerSessions);
    ownerSessions.clear();
    byOwner.forEach(
        (shardOwner, shards) -> {
          OwnerSession session = previous.get(shardOwner.instanceId());
          if (session == null || session.ownerIncarnation() != shardOwner.incarnation()) {
            session = new OwnerSession(shardOwner.instanceId(), shardOwner.incarnation(), settings);
          }
          session.setShards(shards);
          OwnerSession newest = ownerSessions.get(shardOwner.instanceId());
          if (newest == null || newest.ownerIncarnation() < session.ownerIncarnation()) {
            ownerSessions.put(shardOwner.instanceId(), session);
          }
        });
  }

  private void sendDueReports(long nowNanos) {
    Set<Integer> urgentShards = holder.drainUrgentShards();
    for (int shard : urgentShards) {
      appliedMap
          .ownerOf(ShardKind.ENDPOINT, shard)
          .map(shardOwner -> ownerSessions.get(shardOwner.instanceId()))
          .ifPresent(OwnerSession::requestReport);
    }
    for (OwnerSession session : ownerSessions.values()) {
      boolean due =
          session.isDue(settings.requestNanos(), nowNanos)
              || (session.isReportRequested()
                  && session.isDue(MIN_URGENT_REPORT_INTERVAL_NANOS, nowNanos));
      if (due && session.isNeeded(holder)) {
        HolderReport report = session.report(holder, incarnation, ++lastRequestId, nowNanos);
        send(session, new GrantRequest(report), nowNanos);
      }
    }
  }

  private void apply(String fromInstanceId, Grant grant, long nowNanos) {
    OwnerSession session = ownerSessions.get(fromInstanceId);
    if (session != null && session.apply(grant, holder, nowNanos)) {
      HolderReport report = session.report(holder, incarnation, ++lastRequestId, nowNanos);
      send(session, new GrantAck(report), nowNanos);
    }
  }

  private void send(OwnerSession session, PeerMessage message, long nowNanos) {
    if (session.ownerId().equals(selfId)) {
      onMessage(selfId, message, nowNanos);
    } else {
      sender.send(session.ownerId(), message);
    }
  }

  private void sendGrant(String holderId, Grant grant, long nowNanos) {
    if (holderId.equals(selfId)) {
      apply(selfId, grant, nowNanos);
    } else {
      sender.send(holderId, grant);
    }
  }
}
