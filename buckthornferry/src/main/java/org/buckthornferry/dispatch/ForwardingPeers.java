package org.buckthornferry.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the instance through which another one that is cut off from endpoints reaches them.
 * Instances that do not reply, or are cut off too, are avoided with exponential backoff. Of two
 * random ones the less used is chosen, those of the own failure domain first.
 */
public final class ForwardingPeers {
  /** Initial time for which a failed peer is avoided, in milliseconds; doubles on each failure. */
  private static final long INITIAL_BACKOFF_MILLIS = 400;

  /** Maximum time for which a failed peer is avoided, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 3_200;

  /**
   * Number of endpoints in a row that a peer cannot reach from which it counts as cut off itself.
   */
  private static final int MAX_UNREACHABLE_ENDPOINTS = 2;

  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<String, Peer> peers = new HashMap<>();

  private static final class Peer {
    private String domain;
    private int inProgress;
    private int failures;
    private int unreachable;
    private long backoffUntilNanos;
    private boolean isBackedOff;

    private boolean isUsable(long nowNanos) {
      return !isBackedOff || backoffUntilNanos - nowNanos <= 0;
    }
  }

  /** Creates a selection without peers. */
  public ForwardingPeers(String ownDomain, RandomGenerator random) {
    this.ownDomain = ownDomain;
    this.random = random;
  }

  /** Sets the other instances, with their failure domains. */
  public void setPeers(Map<String, String> domains) {
    peers.keySet().retainAll(domains.keySet());
    domains.forEach((id, domain) -> peers.computeIfAbsent(id, key -> new Peer()).domain = domain);
  }

  /** Returns whether a request may be forwarded. */
  public boolean hasUsable(long nowNanos) {
    return peers.values().stream().anyMatch(peer -> peer.isUsable(nowNanos));
  }

  /**
   * Returns the peer for the next request, or empty if there is none.
   *
   * @param isBoundToDomain whether the request must not leave the failure domain
   */
  public Optional<String> choose(boolean isBoundToDomain, long nowNanos) {
    List<String> own = usable(peer -> peer.domain.equals(ownDomain), nowNanos);
    List<String> candidates =
        own.isEmpty() && !isBoundToDomain ? usable(peer -> true, nowNanos) : own;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    String one = candidates.get(random.nextInt(candidates.size()));
    String other = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(peers.get(other).inProgress < peers.get(one).inProgress ? other : one);
  }

  private List<String> usable(Predicate<Peer> filter, long nowNanos) {
    List<String> ids = new ArrayList<>();
    peers.forEach(
        (id, peer) -> {
          if (peer.isUsable(nowNanos) && filter.test(peer)) {
            ids.add(id);
          }
        });
    return ids;
  }

  /** Records that a request is sent through a peer. */
  public void onSent(String peerId) {
    peer(peerId).ifPresent(peer -> peer.inProgress++);
  }

  /** Records the end of a request that was sent through a peer. */
  public void onEnded(String peerId) {
    peer(peerId).ifPresent(peer -> peer.inProgress = Math.max(0, peer.inProgress - 1));
  }

  /** Records that an endpoint answered through a peer. */
  public void onAnswered(String peerId) {
    peer(peerId)
        .ifPresent(
            peer -> {
              peer.failures = 0;
              peer.unreachable = 0;
              peer.isBackedOff = false;
            });
  }

  /** Records that a peer cannot be reached, or stated that it cannot forward. */
  public void onFailed(String peerId, long nowNanos) {
    peer(peerId)
        .ifPresent(
            peer -> {
              long millis =
                  Math.min(
                      MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(peer.failures, 8));
              peer.failures++;
              peer.isBackedOff = true;
              peer.backoffUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
            });
  }

  /** Records that a peer could not reach an endpoint. */
  public void onUnreachable(String peerId, long nowNanos) {
    peer(peerId)
        .ifPresent(
            peer -> {
              peer.unreachable++;
              if (peer.unreachable >= MAX_UNREACHABLE_ENDPOINTS) {
                onFailed(peerId, nowNanos);
              }
            });
  }

  private Optional<Peer> peer(String peerId) {
    return Optional.ofNullable(peers.get(peerId));
  }
}
