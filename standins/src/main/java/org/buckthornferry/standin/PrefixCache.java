package org.buckthornferry.standin;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Least-recently-used cache of prompt prefixes, bounded in tokens. Used by one thread. */
final class PrefixCache {
  private final long maxTokens;
  private final CacheEventLog events;
  private final Map<Long, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private long heldTokens;

  private record Block(long tokens, long prefixTokens) {}

  PrefixCache(long maxTokens, CacheEventLog events) {
    this.maxTokens = maxTokens;
    this.events = events;
  }

  /** Returns how many of the prompt's tokens are cached. */
  long cachedTokens(List<Long> prefixHashes) {
    long cached = 0;
    for (Long hash : prefixHashes) {
      Block block = blocks.get(hash);
      if (block == null) {
        break;
      }
      cached = block.prefixTokens;
    }
    return cached;
  }

  /** Stores every prefix of a prompt whose prefill has ended. */
  void store(List<Long> prefixHashes, long tokensPerBlock, long nowNanos) {
    long prefixTokens = 0;
    for (Long hash : prefixHashes) {
      prefixTokens += tokensPerBlock;
      if (blocks.containsKey(hash)) {
        continue;
      }
      blocks.put(hash, new Block(tokensPerBlock, prefixTokens));
      heldTokens += tokensPerBlock;
      events.add("stored", hash, prefixTokens, nowNanos);
    }
    evict(nowNanos);
  }

  void clear(long nowNanos) {
    blocks.forEach((hash, block) -> events.add("evicted", hash, block.prefixTokens, nowNanos));
    blocks.clear();
    heldTokens = 0;
  }

  long heldTokens() {
    return heldTokens;
  }

  private void evict(long nowNanos) {
    Iterator<Map.Entry<Long, Block>> oldest = blocks.entrySet().iterator();
    while (heldTokens > maxTokens && oldest.hasNext()) {
      Map.Entry<Long, Block> entry = oldest.next();
      heldTokens -= entry.getValue().tokens;
      events.add("evicted", entry.getKey(), entry.getValue().prefixTokens, nowNanos);
      oldest.remove();
    }
  }
}
