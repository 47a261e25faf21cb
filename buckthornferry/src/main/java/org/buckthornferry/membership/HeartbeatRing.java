package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects heartbeat peers on a ring of instance ids ordered by hash. Peers are at power-of-two
 * distances in both directions, so a change reaches every instance in a logarithmic number of hops.
 * The relation is symmetric: an instance sends heartbeats to every peer that sends it heartbeats.
 */
public final class HeartbeatRing {
  private static final Comparator<RingEntry> ORDER =
      Comparator.comparingInt(RingEntry::hash).thenComparing(RingEntry::id);

  private final List<String> ids;
  private final List<RingEntry> entries;

  private record RingEntry(int hash, String id) {
    static RingEntry of(String id) {
      return new RingEntry(HeartbeatRing.hash(id), id);
    }
  }

  /** Creates a ring of the given ids. */
  public HeartbeatRing(Collection<String> ids) {
    List<RingEntry> ordered = new ArrayList<>(ids.size());
    for (String id : ids) {
      ordered.add(RingEntry.of(id));
    }
    ordered.sort(ORDER);
    this.entries = ordered;
    this.ids = ordered.stream().map(RingEntry::id).toList();
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
    int position = Collections.binarySearch(entries, RingEntry.of(id), ORDER);
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

  /** Returns the base-2 logarithm of {@code value}, rounded up; 0 for values below 2. */
  static int ceilLog2(int value) {
    return value <= 1 ? 0 : Integer.SIZE - Integer.numberOfLeadingZeros(value - 1);
  }

  /** Returns an FNV-1a hash with the MurmurHash3 finalizer; it is the same in every process. */
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
