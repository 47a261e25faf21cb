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
 * Exchanges grants between instances: asks the owners of all endpoints that this instance uses, and
 * answers for the endpoints whose shards it owns. Writes {@link HeldGrants#ENTRY}.
 */
public final class CapacityController implements Controller {
  /** The time between two looks at budgets, load samples and ended holders. */
  private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The least time between two reports to one owner because of new demand. */
  private static final long URGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final String selfId;
  private final long incarnation;
  private final CapacitySettings settings;
  private final GrantHolder holder;
  private final GrantOwner owner;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final Consumer<HeldGrants> writer;
  private final Map<String, OwnerLink> links = new HashMap<>();
  private ShardMap linkedMap = ShardMap.EMPTY;
  private long lastRequestId;
  private long lastSweepNanos;
  private long lastPublishNanos;
  private boolean swept;
  private boolean published;

  /**
   * Creates the controller of one instance.
   *
   * @param incarnation the start time of this process, in milliseconds since the epoch
   * @param holder decides over the starts of requests at this instance; used by routing
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
      sweepWhenDue(nowNanos);
      owner.onReport(fromInstanceId, request.report(), nowNanos);
    } else if (message instanceof GrantAck ack) {
      sweepWhenDue(nowNanos);
      owner.onReport(fromInstanceId, ack.report(), nowNanos);
    } else if (message instanceof Grant grant) {
      apply(fromInstanceId, grant, nowNanos);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    if (!map.equals(linkedMap)) {
      linkedMap = map;
      link(map);
    }
    sweepWhenDue(nowNanos);
    request(nowNanos);
    owner.push(nowNanos);
    if (!published || nowNanos - lastPublishNanos >= PUBLISH_NANOS) {
      published = true;
      lastPublishNanos = nowNanos;
      writer.accept(new HeldGrants(holder.snapshot(nowNanos)));
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("owners", links.keySet().stream().sorted().toList());
    Map<String, Object> reserved = new LinkedHashMap<>();
    owner.reserved().forEach((id, amounts) -> reserved.put(id, amounts.concurrent()));
    dump.put("reserved", reserved);
    return dump;
  }

  /** Also runs before an answer, so that a process that was paused never grants an old budget. */
  private void sweepWhenDue(long nowNanos) {
    if (!swept || nowNanos - lastSweepNanos >= SWEEP_NANOS) {
      swept = true;
      lastSweepNanos = nowNanos;
      owner.sweep(blackboard.read(MembershipView.ENTRY), nowNanos);
    }
  }

  private void link(ShardMap map) {
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
    Map<String, OwnerLink> before = Map.copyOf(links);
    links.clear();
    byOwner.forEach(
        (shardOwner, shards) -> {
          OwnerLink link = before.get(shardOwner.instanceId());
          if (link == null || link.ownerIncarnation() != shardOwner.incarnation()) {
            link = new OwnerLink(shardOwner.instanceId(), shardOwner.incarnation(), settings);
          }
          link.setShards(shards);
          OwnerLink other = links.get(shardOwner.instanceId());
          if (other == null || other.ownerIncarnation() < link.ownerIncarnation()) {
            links.put(shardOwner.instanceId(), link);
          }
        });
  }

  private void request(long nowNanos) {
    Set<Integer> urgentShards = holder.takeUrgentShards();
    for (int shard : urgentShards) {
      linkedMap
          .ownerOf(ShardKind.ENDPOINT, shard)
          .map(shardOwner -> links.get(shardOwner.instanceId()))
          .ifPresent(OwnerLink::wantReport);
    }
    for (OwnerLink link : links.values()) {
      boolean due =
          link.isDue(settings.requestNanos(), nowNanos)
              || (link.isReportWanted() && link.isDue(URGENT_NANOS, nowNanos));
      if (due && link.isNeeded(holder)) {
        HolderReport report = link.report(holder, incarnation, ++lastRequestId, nowNanos);
        send(link, new GrantRequest(report), nowNanos);
      }
    }
  }

  private void apply(String fromInstanceId, Grant grant, long nowNanos) {
    OwnerLink link = links.get(fromInstanceId);
    if (link != null && link.apply(grant, holder, nowNanos)) {
      HolderReport report = link.report(holder, incarnation, ++lastRequestId, nowNanos);
      send(link, new GrantAck(report), nowNanos);
    }
  }

  private void send(OwnerLink link, PeerMessage message, long nowNanos) {
    if (link.ownerId().equals(selfId)) {
      onMessage(selfId, message, nowNanos);
    } else {
      sender.send(link.ownerId(), message);
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
