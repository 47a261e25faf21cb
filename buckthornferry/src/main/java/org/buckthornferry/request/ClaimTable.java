package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.util.Checks;

/**
 * Stores the claims of the shards that this process owns, limited in number and in response bytes.
 *
 * <p>A settled claim that has not changed for the claim window loses its response and is expired;
 * after a second window it is removed. Each tick examines some of the claims in turn, so expiry
 * takes bounded time per tick. A full table evicts only settled idempotent claims, because an
 * evicted non-idempotent request could run twice. Used on the control thread only.
 */
public final class ClaimTable {
  private static final int MAX_EVICTION_PROBES = 32;

  /** The number of ticks within which a full sweep examines every claim once. */
  private static final int SWEEP_TICKS = 1_000;

  private static final int MIN_CLAIMS_SWEPT_PER_TICK = 16;

  private final Map<RequestIdentity, Claim> claims = new HashMap<>();
  private final ArrayDeque<Claim> rotation = new ArrayDeque<>();
  private final long claimWindowNanos;
  private final int maxClaims;
  private final long maxResponseBytes;
  private long responseBytes;

  /** Creates an empty table. */
  public ClaimTable(long claimWindowMillis, int maxClaims, long maxResponseBytes) {
    this.claimWindowNanos =
        TimeUnit.MILLISECONDS.toNanos(Checks.positive(claimWindowMillis, "claimWindowMillis"));
    this.maxClaims = (int) Checks.positive(maxClaims, "maxClaims");
    this.maxResponseBytes = Checks.positive(maxResponseBytes, "maxResponseBytes");
  }

  /** Returns the number of claims. */
  public int size() {
    return claims.size();
  }

  /** Returns the total size of the stored response bodies, in bytes. */
  public long responseBytes() {
    return responseBytes;
  }

  /** Returns the claim of an identity, or null. */
  Claim get(RequestIdentity identity) {
    return claims.get(identity);
  }

  Collection<Claim> claims() {
    return Collections.unmodifiableCollection(claims.values());
  }

  /** Adds a claim unless the table is full; returns whether it was added. */
  boolean add(Claim claim) {
    if (claims.size() >= maxClaims && !evictOne()) {
      return false;
    }
    addRecovered(claim);
    return true;
  }

  /** Adds a claim of a former owner even to a full table, because it must not be lost. */
  void addRecovered(Claim claim) {
    claims.put(claim.identity, claim);
    rotation.add(claim);
    responseBytes += claim.responseBytes();
  }

  void remove(Claim claim) {
    if (claims.remove(claim.identity, claim)) {
      responseBytes -= claim.responseBytes();
    }
  }

  /** Records the answer; the response is dropped when the byte limit is reached. */
  void answer(Claim claim, StoredResponse response, long nowNanos) {
    boolean kept = response != null && makeRoomFor(response.body().length);
    claim.answer(kept ? response : null, nowNanos);
    responseBytes += claim.responseBytes();
  }

  /** Returns whether the claim is settled and has not changed for the claim window. */
  boolean isExpired(Claim claim, long nowNanos) {
    return !claim.state().isOpen() && claim.ageNanos(nowNanos) >= claimWindowNanos;
  }

  /** Removes the claims of the shards in {@code lost} and passes each to {@code consumer}. */
  void removeShards(java.util.Set<Integer> lost, Consumer<Claim> consumer) {
    for (Claim claim : java.util.List.copyOf(claims.values())) {
      if (lost.contains(claim.shard)) {
        remove(claim);
        consumer.accept(claim);
      }
    }
  }

  /**
   * Expires and removes old claims among the next ones in the rotation.
   *
   * @param overdue receives every open claim that has not changed for the claim window
   * @param retained receives every examined claim that stays in the table
   */
  void sweep(long nowNanos, Consumer<Claim> overdue, Consumer<Claim> retained) {
    int count =
        Math.min(rotation.size(), MIN_CLAIMS_SWEPT_PER_TICK + rotation.size() / SWEEP_TICKS);
    for (int i = 0; i < count; i++) {
      Claim claim = rotation.poll();
      if (claims.get(claim.identity) != claim) {
        continue;
      }
      age(claim, nowNanos, overdue);
      if (claims.get(claim.identity) == claim) {
        rotation.add(claim);
        retained.accept(claim);
      }
    }
  }

  private void age(Claim claim, long nowNanos, Consumer<Claim> overdue) {
    if (claim.ageNanos(nowNanos) < claimWindowNanos) {
      return;
    }
    if (claim.state().isOpen()) {
      overdue.accept(claim);
    } else if (claim.ageNanos(nowNanos) >= 2 * claimWindowNanos) {
      remove(claim);
    } else {
      responseBytes -= claim.dropResponse();
    }
  }

  private boolean evictOne() {
    for (int i = 0; i < MAX_EVICTION_PROBES && !rotation.isEmpty(); i++) {
      Claim claim = rotation.poll();
      if (claims.get(claim.identity) != claim) {
        continue;
      }
      if (claim.isIdempotent() && !claim.state().isOpen()) {
        remove(claim);
        return true;
      }
      rotation.add(claim);
    }
    return false;
  }

  private boolean makeRoomFor(int bodyBytes) {
    for (int i = 0; i < MAX_EVICTION_PROBES && responseBytes + bodyBytes > maxResponseBytes; i++) {
      Claim oldest = rotation.poll();
      if (oldest == null) {
        break;
      }
      if (claims.get(oldest.identity) == oldest) {
        if (oldest.isIdempotent()) {
          responseBytes -= oldest.dropResponse();
        }
        rotation.add(oldest);
      }
    }
    return responseBytes + bodyBytes <= maxResponseBytes;
  }
}
