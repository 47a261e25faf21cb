package org.buckthornferry.shard;

import java.util.Map;
import java.util.Optional;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.util.Checks;

/**
 * An immutable map of the shard owners known to this instance, which may be out of date. Only the
 * owner's own lease check proves ownership.
 *
 * @param shardCount the number of shards of each kind
 * @param owners the known owners by kind and shard number
 */
public record ShardMap(int shardCount, Map<ShardKind, Map<Integer, ShardOwner>> owners) {
  /** A map without owners. */
  public static final ShardMap EMPTY = new ShardMap(1, Map.of());

  /** The blackboard entry for the current map. */
  public static final BlackboardEntry<ShardMap> ENTRY = BlackboardEntry.of("shards", EMPTY);

  /** Copies the owners. */
  public ShardMap {
    Checks.positive(shardCount, "shardCount");
    owners = Map.copyOf(owners);
  }

  /** Returns the number of the shard that holds {@code key}. */
  public int shardOf(String key) {
    return Math.floorMod(hash(key), shardCount);
  }

  /** Returns the known owner of a shard, or empty. */
  public Optional<ShardOwner> ownerOf(ShardKind kind, int shard) {
    return Optional.ofNullable(owners.getOrDefault(kind, Map.of()).get(shard));
  }

  /** Returns the known owner of the shard that holds {@code key}, or empty. */
  public Optional<ShardOwner> ownerOf(ShardKind kind, String key) {
    return ownerOf(kind, shardOf(key));
  }

  /** Returns an FNV-1a hash with the MurmurHash3 finalizer; it is the same in every process. */
  static int hash(String key) {
    int h = 0x811C9DC5;
    for (int i = 0; i < key.length(); i++) {
      h = (h ^ key.charAt(i)) * 0x01000193;
    }
    h ^= h >>> 16;
    h *= 0x85EBCA6B;
    h ^= h >>> 13;
    h *= 0xC2B2AE35;
    return h ^ (h >>> 16);
  }
}
