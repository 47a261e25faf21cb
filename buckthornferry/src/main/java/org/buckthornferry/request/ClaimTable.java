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
 * The claims of the shards that this process owns, bounded in number and in bytes of responses.
 *
 * <p>A claim that has not changed for the claim window loses its response and counts as expired;
 * after a second window it is removed. Claims are examined in rotation, so ageing costs a bounded
 * time per tick. When the table is full only settled idempotent claims make room, because a
 * forgotten non-idempotent claim could run twice. Used on the control thread only.
 */
public final class ClaimTable {
  private static final int EVICTION_PROBES = 32;

  /** The number of ticks in which every claim is examined once. */
  private static final int SWEEP_TICKS = 1_000;

  private static final int MIN_SWEEP_PER_TICK = 16;

  private final Map<RequestIdentity, Claim> claims = new HashMap<>();
  private final ArrayDeque<Claim> rotation = new ArrayDeque<>();
  private final long windowNanos;
  private final int maxClaims;
  private final long maxResponseBytes;
  private long responseBytes;

  /** Creates an empty table. */
  public ClaimTable(long claimWindowMillis, int maxClaims, long maxResponseBytes) {
    this.windowNanos =
        TimeUnit.MILLISECONDS.toNanos(Checks.positive(claimWindowMillis, "claimWindowMillis"));
    this.maxClaims = (int) Checks.positive(maxClaims, "maxClaims");
    this.maxResponseBytes = Checks.positive(maxResponseBytes, "maxResponseBytes");
  }

  /** Returns the number of claims. */
  public int size() {
    return claims.size();
  }

  /** Returns the sum of the kept response bodies, in bytes. */
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

  /** Adds a claim of a former owner even above the bound, because it must not be forgotten. */
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

  /** Records the answer; the response is left out when the bytes are used up. */
  void answer(Claim claim, StoredResponse response, long nowNanos) {
    boolean kept = response != null && hasRoomFor(response.body().length);
    claim.answer(kept ? response : null, nowNanos);
    responseBytes += claim.responseBytes();
  }

  /** Returns whether the claim is settled and older than the window. */
  boolean isExpired(Claim claim, long nowNanos) {
    return !claim.state().isOpen() && claim.ageNanos(nowNanos) >= windowNanos;
  }

  /**
   * Removes the claims of the shards that {@code lost} names and passes each to {@code consumer}.
   */
  void removeShards(java.util.Set<Integer> lost, Consumer<Claim> consumer) {
    for (Claim claim : java.util.List.copyOf(claims.values())) {
      if (lost.contains(claim.shard)) {
        remove(claim);
        consumer.accept(claim);
      }
    }
  }

  /**
   * Ages some claims.
   *
   * @param overdue is given every open claim that has not changed for the claim window
   */
  void sweep(long nowNanos, Consumer<Claim> overdue) {
    int count = Math.min(rotation.size(), MIN_SWEEP_PER_TICK + rotation.size() / SWEEP_TICKS);
    for (int i = 0; i < count; i++) {
      Claim claim = rotation.poll();
      if (claims.get(claim.identity) != claim) {
        continue;
      }
      age(claim, nowNanos, overdue);
      if (claims.get(claim.identity) == claim) {
        rotation.add(claim);
      }
    }
  }

  private void age(Claim claim, long nowNanos, Consumer<Claim> overdue) {
    if (claim.ageNanos(nowNanos) < windowNanos) {
      return;
    }
    if (claim.state().isOpen()) {
      overdue.accept(claim);
    } else if (claim.ageNanos(nowNanos) >= 2 * windowNanos) {
      remove(claim);
    } else {
      responseBytes -= claim.dropResponse();
    }
  }

  private boolean evictOne() {
    for (int i = 0; i < EVICTION_PROBES && !rotation.isEmpty(); i++) {
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

  private boolean hasRoomFor(int bodyBytes) {
    for (int i = 0; i < EVICTION_PROBES && responseBytes + bodyBytes > maxResponseBytes; i++) {
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
