package org.buckthornferry.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.util.Rendezvous;

/**
 * Estimates which endpoints hold a prompt prefix in their prefix cache. All instances assign the
 * same few endpoints to a prefix by rendezvous hashing, so requests that share it reach the same
 * caches although instances do not tell each other where they send requests. A prefix that is
 * requested more often gets more endpoints. The cache is only a preference: when an assigned
 * endpoint is full or slow, another one reads the prefix again.
 */
final class PrefixCacheAffinity {
  /** The expected cached share of the root part at the endpoint of the branch part. */
  private static final double CACHED_AT_BRANCH_SHARE = 0.8;

  /** The expected cached share of the root part at its other endpoints. */
  private static final double CACHED_AT_ROOT_SHARE = 0.6;

  /** The window over which the uses of a prefix are counted, in milliseconds. */
  private static final long USE_WINDOW_MILLIS = 20_000;

  /** The largest share of an endpoint's slots that is planned for the requests of one prefix. */
  private static final double MAX_SLOT_SHARE = 0.5;

  /** How long a request occupies a slot, in seconds; a typical answer of an engine. */
  private static final double RUN_SECONDS = 1;

  /**
   * Bounds the tokens that the endpoints of a prefix read in total; a longer prefix has one
   * endpoint.
   */
  private static final long MAX_DUPLICATED_TOKENS = 20_000;

  /** The maximum number of tracked prefixes; the least recently used one is evicted. */
  private static final int MAX_PREFIXES = 1_024;

  private final Map<String, PrefixUse> usesByRootId =
      new LinkedHashMap<>(64, 0.75f, /* accessOrder= */ true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PrefixUse> eldest) {
          return size() > MAX_PREFIXES;
        }
      };
  private List<String> endpointIds = List.of();
  private int slotsPerEndpoint = 1;
  private int instances = 1;

  private static final class PrefixUse {
    private final SlidingWindowSum requests = new SlidingWindowSum(USE_WINDOW_MILLIS);
    private List<String> endpointsInOrder = List.of();
    private int endpointCount = 1;
  }

  /** Sets the endpoints that may get requests. */
  void setEndpoints(Collection<String> ids, int newSlotsPerEndpoint) {
    slotsPerEndpoint = Math.max(1, newSlotsPerEndpoint);
    if (endpointIds.size() != ids.size() || !endpointIds.containsAll(ids)) {
      endpointIds = List.copyOf(ids);
      usesByRootId.values().forEach(use -> use.endpointsInOrder = List.of());
    }
  }

  /** Sets the number of instances; each is assumed to get an equal share of the requests. */
  void setInstances(int newInstances) {
    instances = Math.max(1, newInstances);
  }

  /** Counts a request with a shared prefix and updates the number of endpoints of the prefix. */
  void onArrival(PromptPrefix prefix, long nowNanos) {
    if (!prefix.isKnown()) {
      return;
    }
    PrefixUse use = usesByRootId.computeIfAbsent(prefix.rootId(), id -> new PrefixUse());
    // The first use says nothing about the rate.
    double others = use.requests.sum(nowNanos);
    use.requests.add(1, nowNanos);
    double perSecond = others * instances * 1_000 / USE_WINDOW_MILLIS;
    double needed = 1 + perSecond * RUN_SECONDS / (MAX_SLOT_SHARE * slotsPerEndpoint);
    double affordable = Math.max(1, (double) MAX_DUPLICATED_TOKENS / prefix.tokens());
    use.endpointCount = (int) Math.max(1, Math.min(needed, affordable));
  }

  /** Returns the expected number of prefix tokens that an endpoint has cached. */
  double cachedTokens(PromptPrefix prefix, String endpointId) {
    PrefixUse use = prefix.isKnown() ? usesByRootId.get(prefix.rootId()) : null;
    if (use == null) {
      return 0;
    }
    List<String> assigned = assignedEndpoints(use, prefix.rootId());
    if (!assigned.contains(endpointId)) {
      return 0;
    }
    boolean isBranchEndpoint =
        Rendezvous.first(prefix.branchId(), assigned).orElseThrow().equals(endpointId);
    return (isBranchEndpoint ? CACHED_AT_BRANCH_SHARE : CACHED_AT_ROOT_SHARE) * prefix.tokens();
  }

  private List<String> assignedEndpoints(PrefixUse use, String rootId) {
    if (use.endpointsInOrder.isEmpty()) {
      use.endpointsInOrder = Rendezvous.order(rootId, endpointIds);
    }
    return use.endpointsInOrder.subList(
        0, Math.min(use.endpointCount, use.endpointsInOrder.size()));
  }
}
