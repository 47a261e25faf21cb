package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Instance ids ordered by hash. Peers stand at distances of powers of two in both directions, so
 * that a change reaches everyone in a logarithmic number of steps, and the relation is symmetric:
 * whoever receives heartbeats from a peer also sends them to it.
 */
public final class HeartbeatRing {
  private static final Comparator<String> ORDER =
      Comparator.comparingInt(HeartbeatRing::hash).thenComparing(Comparator.naturalOrder());

  private final List<String> ids;

  /** Creates a ring of the given ids. */
  public HeartbeatRing(Collection<String> ids) {
    List<String> ordered = new ArrayList<>(ids);
    ordered.sort(ORDER);
    this.ids = Collections.unmodifiableList(ordered);
  }

  /** Returns the ids in ring order. */
  public List<String> ids() {
    return ids;
  }

  /**
   * Returns the heartbeat peers of {@code id}, which must be on the ring: at most {@code min(n - 1,
   * 2 * ceil(log2 n) + 1)}, nearest first.
   */
  public Set<String> peersOf(String id) {
    int size = ids.size();
    int position = Collections.binarySearch(ids, id, ORDER);
    if (position < 0) {
      throw new IllegalArgumentException(id + " is not on the ring");
    }
    Set<String> peers = new LinkedHashSet<>();
    if (size - 1 <= 2 * ceilLog2(size) + 1) {
      for (int distance = 1; distance < size; distance++) {
        peers.add(ids.get((position + distance) % size));
      }
      return peers;
    }
    for (int distance = 1; distance <= size / 2; distance *= 2) {
      peers.add(ids.get((position + distance) % size));
      peers.add(ids.get(Math.floorMod(position - distance, size)));
    }
    return peers;
  }

  /** Returns the smallest whole number whose power of two is at least {@code value}. */
  static int ceilLog2(int value) {
    return value <= 1 ? 0 : Integer.SIZE - Integer.numberOfLeadingZeros(value - 1);
  }

  /** Returns a well-mixed hash that is the same in every process. */
  static int hash(String id) {
    int h = 0x811C9DC5;
    for (int i = 0; i < id.length(); i++) {
      h = (h ^ id.charAt(i)) * 0x01000193;
    }
    h ^= h >>> 16;
    h *= 0x85EBCA6B;
    h ^= h >>> 13;
    h *= 0xC2B2AE35;
    return h ^ (h >>> 16);
  }
}
