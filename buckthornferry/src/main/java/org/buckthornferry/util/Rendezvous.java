package org.buckthornferry.util;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Orders candidates for a key by rendezvous hashing. All processes that know the same candidates
 * compute the same order, and removing a candidate reassigns only its own keys.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** Returns the highest-ranked candidate for a key, or empty when there are no candidates. */
  public static Optional<String> first(String key, Collection<String> candidates) {
    String best = null;
    for (String candidate : candidates) {
      if (best == null || weight(key, candidate) > weight(key, best)) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the number of candidates that rank above {@code candidate} for a key. */
  public static int rank(String key, String candidate, Collection<String> candidates) {
    long ownWeight = weight(key, candidate);
    int higherRanked = 0;
    for (String other : candidates) {
      if (!other.equals(candidate) && weight(key, other) > ownWeight) {
        higherRanked++;
      }
    }
    return higherRanked;
  }

  /** Returns the candidates in rank order for a key. */
  public static List<String> order(String key, Collection<String> candidates) {
    List<String> ordered = new ArrayList<>(candidates);
    ordered.sort(Comparator.comparingLong(candidate -> -weight(key, candidate)));
    return List.copyOf(ordered);
  }

  private static long weight(String key, String candidate) {
    long hash = key.hashCode() * 0x9E3779B97F4A7C15L + candidate.hashCode();
    hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
    return (hash ^ (hash >>> 29)) >>> 1;
  }
}
