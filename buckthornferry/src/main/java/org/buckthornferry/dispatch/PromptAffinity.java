package org.buckthornferry.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.util.Rendezvous;

/**
 * Expects which endpoints have read the beginning of a prompt already. All instances compute the
 * same few endpoints for it by rendezvous hashing, so that requests which share it meet there
 * although no instance knows where the others send theirs. The more often it is asked for, the more
 * endpoints it has. An endpoint that is full or slow is not waited for: another one reads the
 * prompt again.
 */
final class PromptAffinity {
  /** How likely the endpoint of a prompt's second part has read the first one. */
  private static final double KEPT_AT_BRANCH_SHARE = 0.8;

  /** The same for the other endpoints of the first part. */
  private static final double KEPT_AT_ROOT_SHARE = 0.6;

  /** The window over which the uses of a part are counted, in milliseconds. */
  private static final long USE_WINDOW_MILLIS = 20_000;

  /** The part of an endpoint's slots that the requests of one prompt may take. */
  private static final double SLOT_SHARE = 0.5;

  /** How long a request holds a slot, in seconds; a usual answer of an engine. */
  private static final double RUN_SECONDS = 1;

  /** The most tokens that all endpoints of a prompt read again, unless one is enough. */
  private static final long MAX_SPREAD_TOKENS = 20_000;

  /** The most parts that are remembered; the one that was not used for longest is forgotten. */
  private static final int MAX_PARTS = 1_024;

  private final Map<String, Part> parts =
      new LinkedHashMap<>(64, 0.75f, /* accessOrder= */ true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Part> eldest) {
          return size() > MAX_PARTS;
        }
      };
  private List<String> endpointIds = List.of();
  private int slotsPerEndpoint = 1;
  private int instances = 1;

  private static final class Part {
    private final SlidingCount uses = new SlidingCount(USE_WINDOW_MILLIS);
    private List<String> endpointsInOrder = List.of();
    private int homes = 1;
  }

  /** Takes over the endpoints that may get requests. */
  void setEndpoints(Collection<String> ids, int newSlotsPerEndpoint) {
    slotsPerEndpoint = Math.max(1, newSlotsPerEndpoint);
    if (endpointIds.size() != ids.size() || !endpointIds.containsAll(ids)) {
      endpointIds = List.copyOf(ids);
      parts.values().forEach(part -> part.endpointsInOrder = List.of());
    }
  }

  /** Takes over the number of instances, of which this one sees an equal part of the requests. */
  void setInstances(int newInstances) {
    instances = Math.max(1, newInstances);
  }

  /** Counts a request that shares the beginning of its prompt. */
  void onArrival(PromptPrefix prompt, long nowNanos) {
    if (!prompt.isKnown()) {
      return;
    }
    Part part = parts.computeIfAbsent(prompt.rootId(), id -> new Part());
    // The first use says nothing about the rate.
    double others = part.uses.sum(nowNanos);
    part.uses.add(1, nowNanos);
    double perSecond = others * instances * 1_000 / USE_WINDOW_MILLIS;
    double needed = 1 + perSecond * RUN_SECONDS / (SLOT_SHARE * slotsPerEndpoint);
    double affordable = Math.max(1, (double) MAX_SPREAD_TOKENS / prompt.tokens());
    part.homes = (int) Math.max(1, Math.min(needed, affordable));
  }

  /** Returns the expected number of a prompt's tokens that an endpoint does not read again. */
  double keptTokens(PromptPrefix prompt, String endpointId) {
    Part part = prompt.isKnown() ? parts.get(prompt.rootId()) : null;
    if (part == null) {
      return 0;
    }
    List<String> homes = homes(part, prompt.rootId());
    if (!homes.contains(endpointId)) {
      return 0;
    }
    boolean isBranchHome =
        Rendezvous.first(prompt.branchId(), homes).orElseThrow().equals(endpointId);
    return (isBranchHome ? KEPT_AT_BRANCH_SHARE : KEPT_AT_ROOT_SHARE) * prompt.tokens();
  }

  private List<String> homes(Part part, String rootId) {
    if (part.endpointsInOrder.isEmpty()) {
      part.endpointsInOrder = Rendezvous.order(rootId, endpointIds);
    }
    return part.endpointsInOrder.subList(0, Math.min(part.homes, part.endpointsInOrder.size()));
  }
}
