package org.buckthornferry.shard;

import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;

/** Weights shard owners by the share of the shard's endpoints in their failure domain. */
final class ShardLocality {
  /** The weight added for an owner in the failure domain of all endpoints of a shard. */
  private static final double LOCALITY_WEIGHT = 3.0;

  private final int shardCount;
  private final Map<Integer, Map<String, Integer>> endpoints = new HashMap<>();
  private final Map<Integer, Integer> totals = new HashMap<>();
  private long revision = -1;

  ShardLocality(int shardCount) {
    this.shardCount = shardCount;
  }

  /** Applies a configuration revision; returns whether it differs from the last one. */
  boolean update(ConfigSnapshot config) {
    if (config.revision() == revision) {
      return false;
    }
    revision = config.revision();
    endpoints.clear();
    totals.clear();
    for (ServiceDeclaration service : config.declarations().services()) {
      for (EndpointDeclaration endpoint : service.endpoints()) {
        int shard = Math.floorMod(ShardMap.hash(endpoint.id()), shardCount);
        endpoints
            .computeIfAbsent(shard, s -> new HashMap<>())
            .merge(endpoint.failureDomain(), 1, Integer::sum);
        totals.merge(shard, 1, Integer::sum);
      }
    }
    return true;
  }

  /** Returns the weight of an owner in {@code failureDomain} for a shard. */
  double weight(int shard, String failureDomain) {
    Integer total = totals.get(shard);
    if (total == null) {
      return 1.0;
    }
    return 1.0
        + LOCALITY_WEIGHT
            * endpoints.get(shard).getOrDefault(failureDomain, 0).doubleValue()
            / total;
  }
}
