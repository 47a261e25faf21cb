package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.util.Checks;

/**
 * An approximate index of the prompt prefixes that endpoints have cached. The number of entries is
 * bounded; the least recently used are evicted first. Cache events may be late or missing, so an
 * entry may be wrong; the index counts the prompt tokens that it wrongly reported as cached.
 */
public final class PrefixIndex {
  /** The maximum number of endpoints kept for one prefix; more would not improve the choice. */
  static final int MAX_HOLDERS = 8;

  private final int maxEntries;
  private final LinkedHashMap<Long, LinkedHashMap<String, Integer>> holdersByPrefix =
      new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Integer> generations = new HashMap<>();
  private final Map<String, Long> lastSequence = new HashMap<>();
  private long missedTokens;

  /**
   * Creates an empty index.
   *
   * @param maxEntries the maximum number of prefixes in the index
   */
  public PrefixIndex(int maxEntries) {
    this.maxEntries = (int) Checks.positive(maxEntries, "maxEntries");
  }

  /** Handles a cache event of an endpoint. */
  public void onEvent(String endpointId, long sequence, long prefixHash, boolean added) {
    long last = lastSequence.getOrDefault(endpointId, sequence - 1);
    if (sequence <= last) {
      return;
    }
    lastSequence.put(endpointId, sequence);
    if (sequence > last + 1) {
      // A lost removal would leave a wrong entry forever; a lost entry costs one prefill.
      forget(endpointId);
    }
    if (added) {
      add(endpointId, prefixHash);
    } else {
      remove(endpointId, prefixHash);
    }
  }

  /** Adds the prefixes of a request that an endpoint has just processed. */
  public void onPrefilled(String endpointId, List<Long> prefixHashes) {
    for (long prefixHash : prefixHashes) {
      add(endpointId, prefixHash);
    }
  }

  /** Removes all entries of an endpoint, for example after its restart. */
  public void forget(String endpointId) {
    // Entries of older generations are ignored, so they need not be removed one by one.
    generations.merge(endpointId, 1, Integer::sum);
  }

  /**
   * Returns how many leading blocks of a request are probably cached, by endpoint.
   *
   * @param prefixHashes the hash of each prefix of the prompt that ends at a block, shortest first
   */
  public Map<String, Integer> cachedBlocks(List<Long> prefixHashes) {
    Map<String, Integer> blocks = new HashMap<>();
    for (int i = prefixHashes.size(); i > 0 && blocks.size() < MAX_HOLDERS; i--) {
      Map<String, Integer> ids = holdersByPrefix.get(prefixHashes.get(i - 1));
      if (ids != null) {
        for (Map.Entry<String, Integer> holder : ids.entrySet()) {
          if (holder.getValue().equals(generationOf(holder.getKey()))) {
            blocks.putIfAbsent(holder.getKey(), i);
          }
        }
      }
    }
    return blocks;
  }

  /** Compares the expected cache hit with the reported one and adds the prefixes of the request. */
  public void onOutcome(
      String endpointId, List<Long> prefixHashes, long expectedTokens, long cachedTokens) {
    if (cachedTokens < expectedTokens) {
      missedTokens += expectedTokens - cachedTokens;
    }
    onPrefilled(endpointId, prefixHashes);
  }

  /** Returns the number of prompt tokens that were expected to be cached and were not. */
  public long missedTokens() {
    return missedTokens;
  }

  /** Returns the number of prefixes in the index. */
  public int size() {
    return holdersByPrefix.size();
  }

  private Integer generationOf(String endpointId) {
    return generations.getOrDefault(endpointId, 0);
  }

  private void add(String endpointId, long prefixHash) {
    Map<String, Integer> ids =
        holdersByPrefix.computeIfAbsent(prefixHash, key -> new LinkedHashMap<>());
    ids.remove(endpointId);
    ids.put(endpointId, generationOf(endpointId));
    if (ids.size() > MAX_HOLDERS) {
      ids.remove(ids.keySet().iterator().next());
    }
    if (holdersByPrefix.size() > maxEntries) {
      Iterator<Long> eldest = holdersByPrefix.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
  }

  private void remove(String endpointId, long prefixHash) {
    Map<String, Integer> ids = holdersByPrefix.get(prefixHash);
    if (ids != null) {
      ids.remove(endpointId);
      if (ids.isEmpty()) {
        holdersByPrefix.remove(prefixHash);
      }
    }
  }
}
