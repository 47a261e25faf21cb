package org.buckthornferry.endpoint;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.util.Checks;

/**
 * A hint at which endpoints hold which prompt prefixes. Bounded in entries; the entries used least
 * recently leave first. Cache events may be late and have gaps, so a hint may be wrong; the prefill
 * that wrong hints promised to save is counted.
 */
public final class PrefixIndex {
  /** The most endpoints remembered for one prefix; more are no better for the choice. */
  static final int MAX_HOLDERS = 8;

  private final int maxEntries;
  private final LinkedHashMap<Long, LinkedHashMap<String, Integer>> holders =
      new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Integer> generations = new HashMap<>();
  private final Map<String, Long> lastSequence = new HashMap<>();
  private long missedTokens;

  /**
   * Creates an empty index.
   *
   * @param maxEntries the most prefixes that are remembered
   */
  public PrefixIndex(int maxEntries) {
    this.maxEntries = (int) Checks.positive(maxEntries, "maxEntries");
  }

  /** Handles an event of an endpoint's cache. */
  public void onEvent(String endpointId, long sequence, long prefixHash, boolean added) {
    long last = lastSequence.getOrDefault(endpointId, sequence - 1);
    if (sequence <= last) {
      return;
    }
    lastSequence.put(endpointId, sequence);
    if (sequence > last + 1) {
      // A lost removal would leave a wrong hint for good; a lost hint costs one prefill.
      forget(endpointId);
    }
    if (added) {
      add(endpointId, prefixHash);
    } else {
      remove(endpointId, prefixHash);
    }
  }

  /** Records the prefixes of a request that an endpoint has just processed. */
  public void onPrefilled(String endpointId, List<Long> prefixHashes) {
    for (long prefixHash : prefixHashes) {
      add(endpointId, prefixHash);
    }
  }

  /** Forgets everything about an endpoint, for example after its restart. */
  public void forget(String endpointId) {
    // Entries of older generations are ignored, so forgetting does not visit them.
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
      Map<String, Integer> ids = holders.get(prefixHashes.get(i - 1));
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

  /** Compares a hint with what the endpoint reported and drops it when it was wrong. */
  public void onOutcome(
      String endpointId, List<Long> prefixHashes, long expectedTokens, long cachedTokens) {
    if (cachedTokens < expectedTokens) {
      missedTokens += expectedTokens - cachedTokens;
    }
    onPrefilled(endpointId, prefixHashes);
  }

  /** Returns the prompt tokens that hints promised to be cached and that were not. */
  public long missedTokens() {
    return missedTokens;
  }

  /** Returns the number of remembered prefixes. */
  public int size() {
    return holders.size();
  }

  private Integer generationOf(String endpointId) {
    return generations.getOrDefault(endpointId, 0);
  }

  private void add(String endpointId, long prefixHash) {
    Map<String, Integer> ids = holders.computeIfAbsent(prefixHash, key -> new LinkedHashMap<>());
    ids.remove(endpointId);
    ids.put(endpointId, generationOf(endpointId));
    if (ids.size() > MAX_HOLDERS) {
      ids.remove(ids.keySet().iterator().next());
    }
    if (holders.size() > maxEntries) {
      Iterator<Long> eldest = holders.keySet().iterator();
      eldest.next();
      eldest.remove();
    }
  }

  private void remove(String endpointId, long prefixHash) {
    Map<String, Integer> ids = holders.get(prefixHash);
    if (ids != null) {
      ids.remove(endpointId);
      if (ids.isEmpty()) {
        holders.remove(prefixHash);
      }
    }
  }
}
