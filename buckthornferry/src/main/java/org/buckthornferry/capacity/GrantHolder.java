package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.util.Checks;

/**
 * Decides at this instance whether a request may start on an endpoint now. Used only on the control
 * thread.
 */
public final class GrantHolder {
  private final ShardMap shards;
  private final Map<String, HeldGrant> held = new HashMap<>();
  private final Map<Integer, List<HeldGrant>> heldByShard = new HashMap<>();
  private final Set<Integer> urgentShards = new HashSet<>();

  /** Creates a holder without grants. */
  public GrantHolder(int shardCount) {
    this.shards = new ShardMap(shardCount, Map.of());
  }

  /** Starts a request whose tokens are not counted, if a grant or slice has room for it. */
  public boolean tryAcquire(String endpointId, long nowNanos) {
    return tryAcquire(endpointId, Amounts.ONE_REQUEST, nowNanos);
  }

  /**
   * Starts a request if a grant or slice has room for it. A refusal counts as demand until the next
   * report to the owner.
   *
   * @return whether the request may start; the caller must release it then
   */
  public boolean tryAcquire(String endpointId, Amounts cost, long nowNanos) {
    HeldGrant grant = grantOf(endpointId, nowNanos);
    if (grant.tryAcquire(cost, nowNanos)) {
      return true;
    }
    noteUrgent(endpointId, grant);
    return false;
  }

  /** Ends a request that was started without counted tokens. */
  public void release(String endpointId, long nowNanos) {
    release(endpointId, Amounts.ONE_REQUEST, nowNanos);
  }

  /**
   * Ends a request.
   *
   * @throws IllegalStateException when less than {@code cost} runs
   */
  public void release(String endpointId, Amounts cost, long nowNanos) {
    grantOf(endpointId, nowNanos).release(cost, nowNanos);
  }

  /** Returns how many further requests may start now, tokens aside. */
  public long available(String endpointId, long nowNanos) {
    return availableAmounts(endpointId, nowNanos).concurrent();
  }

  /** Returns what may start now in addition to what runs. */
  public Amounts availableAmounts(String endpointId, long nowNanos) {
    HeldGrant grant = held.get(endpointId);
    return grant == null ? Amounts.ZERO : grant.usable(nowNanos).minus(grant.running());
  }

  /** Returns what this instance runs on an endpoint. */
  public Amounts running(String endpointId) {
    HeldGrant grant = held.get(endpointId);
    return grant == null ? Amounts.ZERO : grant.running();
  }

  /** Sets what this instance would start on an endpoint now in addition to what runs. */
  public void setDemand(String endpointId, Amounts waiting, long nowNanos) {
    HeldGrant grant = grantOf(endpointId, nowNanos);
    grant.setWaiting(Checks.notNull(waiting, "waiting"));
    noteUrgent(endpointId, grant);
  }

  /** Notes that an endpoint turned cold or warm, learned from another message than a grant. */
  public void markCold(String endpointId, boolean cold, long nowNanos) {
    grantOf(endpointId, nowNanos).markCold(cold);
  }

  /** Returns whether this instance runs on a fallback slice because no owner responds. */
  public boolean usesSlice(String endpointId, long nowNanos) {
    HeldGrant grant = held.get(endpointId);
    return grant != null && grant.usesSlice(nowNanos);
  }

  HeldGrant grantOf(String endpointId, long nowNanos) {
    HeldGrant grant = held.get(endpointId);
    if (grant == null) {
      grant = new HeldGrant(endpointId, nowNanos);
      held.put(endpointId, grant);
      heldByShard.computeIfAbsent(shards.shardOf(endpointId), s -> new ArrayList<>()).add(grant);
    }
    return grant;
  }

  List<HeldGrant> heldIn(int shard) {
    return heldByShard.getOrDefault(shard, List.of());
  }

  int shardOf(String endpointId) {
    return shards.shardOf(endpointId);
  }

  int shardCount() {
    return shards.shardCount();
  }

  /** Returns the shards whose owners should hear of new demand at once, and forgets them. */
  Set<Integer> takeUrgentShards() {
    if (urgentShards.isEmpty()) {
      return Set.of();
    }
    Set<Integer> taken = Set.copyOf(urgentShards);
    urgentShards.clear();
    return taken;
  }

  /** Returns a copy of what is held now, by endpoint id. */
  Map<String, HeldGrants.Held> snapshot(long nowNanos) {
    Map<String, HeldGrants.Held> snapshot = new TreeMap<>();
    for (HeldGrant grant : held.values()) {
      snapshot.put(
          grant.endpointId(),
          new HeldGrants.Held(grant.usable(nowNanos), grant.running(), grant.isCold()));
    }
    return snapshot;
  }

  private void noteUrgent(String endpointId, HeldGrant grant) {
    if (grant.isUrgent()) {
      urgentShards.add(shards.shardOf(endpointId));
    }
  }
}
