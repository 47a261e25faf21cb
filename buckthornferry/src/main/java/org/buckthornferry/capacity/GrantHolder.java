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
 * Decides whether a request may start on an endpoint, within the capacity granted to this instance.
 * Used only on the control thread.
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

  /** Acquires capacity for a request whose tokens are not counted. */
  public boolean tryAcquire(String endpointId, long nowNanos) {
    return tryAcquire(endpointId, Amounts.ONE_REQUEST, nowNanos);
  }

  /**
   * Acquires capacity for a request if a grant or slice has enough. A refusal counts as demand
   * until the next report to the owner.
   *
   * @return whether the request may start; the caller must then release the capacity at its end
   */
  public boolean tryAcquire(String endpointId, Amounts cost, long nowNanos) {
    HeldGrant grant = grantOf(endpointId);
    if (grant.tryAcquire(cost, nowNanos)) {
      return true;
    }
    markUrgent(endpointId, grant);
    return false;
  }

  /** Releases the capacity of a request whose tokens are not counted. */
  public void release(String endpointId, long nowNanos) {
    release(endpointId, Amounts.ONE_REQUEST, nowNanos);
  }

  /**
   * Releases the capacity of a request.
   *
   * @throws IllegalStateException when less than {@code cost} is in use
   */
  public void release(String endpointId, Amounts cost, long nowNanos) {
    grantOf(endpointId).release(cost, nowNanos);
  }

  /** Returns how many further requests may start now, regardless of their tokens. */
  public long available(String endpointId, long nowNanos) {
    return availableAmounts(endpointId, nowNanos).concurrent();
  }

  /** Returns the capacity that is free now. */
  public Amounts availableAmounts(String endpointId, long nowNanos) {
    HeldGrant grant = held.get(endpointId);
    return grant == null ? Amounts.ZERO : grant.usable(nowNanos).minus(grant.running());
  }

  /** Returns the capacity that this instance uses on an endpoint. */
  public Amounts running(String endpointId) {
    HeldGrant grant = held.get(endpointId);
    return grant == null ? Amounts.ZERO : grant.running();
  }

  /** Sets the demand on an endpoint in addition to what is running. */
  public void setDemand(String endpointId, Amounts waiting, long nowNanos) {
    HeldGrant grant = grantOf(endpointId);
    grant.setWaiting(Checks.notNull(waiting, "waiting"));
    markUrgent(endpointId, grant);
  }

  /** Sets whether an endpoint is in cold start, when another source than a grant reports it. */
  public void setCold(String endpointId, boolean cold, long nowNanos) {
    grantOf(endpointId).setCold(cold);
  }

  /** Returns whether this instance uses a fallback slice because no owner responds. */
  public boolean usesSlice(String endpointId, long nowNanos) {
    HeldGrant grant = held.get(endpointId);
    return grant != null && grant.usesSlice(nowNanos);
  }

  HeldGrant grantOf(String endpointId) {
    HeldGrant grant = held.get(endpointId);
    if (grant == null) {
      grant = new HeldGrant(endpointId);
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

  /** Returns and clears the shards whose owners should receive new demand at once. */
  Set<Integer> drainUrgentShards() {
    if (urgentShards.isEmpty()) {
      return Set.of();
    }
    Set<Integer> drained = Set.copyOf(urgentShards);
    urgentShards.clear();
    return drained;
  }

  /** Returns a copy of the current grants by endpoint id. */
  Map<String, HeldGrants.Held> snapshot(long nowNanos) {
    Map<String, HeldGrants.Held> snapshot = new TreeMap<>();
    for (HeldGrant grant : held.values()) {
      snapshot.put(
          grant.endpointId(),
          new HeldGrants.Held(grant.usable(nowNanos), grant.running(), grant.isCold()));
    }
    return snapshot;
  }

  private void markUrgent(String endpointId, HeldGrant grant) {
    if (grant.isUrgent()) {
      urgentShards.add(shards.shardOf(endpointId));
    }
  }
}
