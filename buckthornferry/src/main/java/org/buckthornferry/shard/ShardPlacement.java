package org.buckthornferry.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleBiFunction;
import org.buckthornferry.membership.Member;

/** Chooses the desired owner of every shard by weighted rendezvous hashing. */
final class ShardPlacement {
  /** Bounds owners, and so lease renewals, in proportion to the number of failure domains. */
  static final int MAX_OWNERS_PER_DOMAIN = 8;

  /** Up to this number, every eligible instance may own claim shards and journal claims. */
  static final int MIN_CLAIM_OWNERS = 8;

  private final int shardCount;

  ShardPlacement(int shardCount) {
    this.shardCount = shardCount;
  }

  /** Returns the members, among the eligible ones, that may own shards of {@code kind}. */
  static List<Member> candidates(ShardKind kind, List<Member> eligible) {
    Map<String, List<Member>> byDomain = new TreeMap<>();
    for (Member member : eligible) {
      byDomain.computeIfAbsent(member.failureDomain(), d -> new ArrayList<>()).add(member);
    }
    int bound = Math.max(MIN_CLAIM_OWNERS, byDomain.size());
    List<Member> chosen = new ArrayList<>();
    byDomain.values().forEach(members -> members.sort(Comparator.comparingLong(m -> rank(m))));
    for (int round = 0; round < MAX_OWNERS_PER_DOMAIN; round++) {
      for (List<Member> members : byDomain.values()) {
        if (round < members.size() && (kind == ShardKind.ENDPOINT || chosen.size() < bound)) {
          chosen.add(members.get(round));
        }
      }
    }
    return chosen;
  }

  /**
   * Returns the desired owner of each shard number; empty when there are no candidates.
   *
   * @param weight the weight of a failure domain for a shard; positive
   */
  Map<Integer, String> place(
      ShardKind kind, List<Member> candidates, ToDoubleBiFunction<Integer, String> weight) {
    Map<Integer, String> placement = new HashMap<>();
    for (int shard = 0; shard < shardCount; shard++) {
      String best = null;
      double bestScore = Double.NEGATIVE_INFINITY;
      for (Member member : candidates) {
        double score =
            score(kind, shard, member) * weight.applyAsDouble(shard, member.failureDomain());
        if (score > bestScore) {
          bestScore = score;
          best = member.instanceId();
        }
      }
      if (best != null) {
        placement.put(shard, best);
      }
    }
    return placement;
  }

  private static long rank(Member member) {
    return mix(ShardMap.hash(member.instanceId()));
  }

  private static double score(ShardKind kind, int shard, Member member) {
    long hash = mix(rank(member) ^ (((long) kind.code() << 32) | shard));
    double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
    return -1.0 / Math.log(uniform);
  }

  private static long mix(long value) {
    long z = value * 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
