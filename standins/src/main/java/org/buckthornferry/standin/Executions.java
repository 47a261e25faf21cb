package org.buckthornferry.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts the executions of a plain service by identity. Used by one thread. */
final class Executions {
  private static final int MAX_IDENTITIES = 200_000;

  private final Map<String, Integer> byRequestId = new Bounded();
  private final Map<String, Integer> byIdempotencyKey = new Bounded();
  private final Map<String, Integer> byContentHash = new Bounded();

  /** The counts at one time. The content hash is that of {@link PromptText#hash}. */
  record Snapshot(
      Map<String, Integer> byRequestId,
      Map<String, Integer> byIdempotencyKey,
      Map<String, Integer> byContentHash) {}

  private static final class Bounded extends LinkedHashMap<String, Integer> {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
      return size() > MAX_IDENTITIES;
    }
  }

  /** Counts one execution and returns its number for the most specific identity. */
  int count(String requestId, String idempotencyKey, String contentHash) {
    byContentHash.merge(contentHash, 1, Integer::sum);
    int ofRequest = byRequestId.merge(requestId, 1, Integer::sum);
    if (idempotencyKey.isEmpty()) {
      return ofRequest;
    }
    return byIdempotencyKey.merge(idempotencyKey, 1, Integer::sum);
  }

  Snapshot snapshot() {
    return new Snapshot(
        new LinkedHashMap<>(byRequestId),
        new LinkedHashMap<>(byIdempotencyKey),
        new LinkedHashMap<>(byContentHash));
  }
}
