package org.buckthornferry.rollout;

import java.util.Optional;
import java.util.TreeMap;

/**
 * The evidence about one rollout over all routes, from cumulative counters of any number of
 * instances.
 */
final class RolloutEvidence {
  private final FaultThresholds thresholds;
  private final TreeMap<String, RouteEvidence> byRoute = new TreeMap<>();
  private final TreeMap<Source, RouteCounts> lastReadings = new TreeMap<>();
  private long newEnded;
  private long consecutiveGood;

  private record Source(String instance, String route, boolean newVersion)
      implements Comparable<Source> {
    @Override
    public int compareTo(Source other) {
      int order = instance.compareTo(other.instance);
      if (order == 0) {
        order = route.compareTo(other.route);
      }
      return order == 0 ? Boolean.compare(newVersion, other.newVersion) : order;
    }
  }

  RolloutEvidence(FaultThresholds thresholds) {
    this.thresholds = thresholds;
  }

  /**
   * Adds the increase of an instance's counters since its last reading. Duplicate and reordered
   * readings add nothing.
   *
   * @param instance the instance id with its incarnation
   */
  void read(String instance, String route, boolean newVersion, RouteCounts reading) {
    Source source = new Source(instance, route, newVersion);
    RouteCounts last = lastReadings.getOrDefault(source, RouteCounts.ZERO);
    RouteCounts latest = last.latest(reading);
    RouteCounts growth = latest.minus(last);
    if (growth.ended() == 0) {
      return;
    }
    lastReadings.put(source, latest);
    RouteEvidence evidence = byRoute.computeIfAbsent(route, unused -> new RouteEvidence());
    if (newVersion) {
      newEnded += growth.ended();
      boolean bad = growth.failed() + growth.slow() > 0;
      consecutiveGood = bad ? 0 : consecutiveGood + growth.ended();
      evidence.addNew(growth, thresholds);
    } else {
      evidence.addOld(growth);
    }
  }

  void stepStarted() {
    byRoute.values().forEach(RouteEvidence::stepStarted);
  }

  /** Returns the first route with a detected fault and the reason, or empty. */
  Optional<String> fault() {
    for (var entry : byRoute.entrySet()) {
      if (entry.getValue().showsFault()) {
        return Optional.of("route " + entry.getKey() + ": " + entry.getValue().faultReason());
      }
    }
    return Optional.empty();
  }

  /** Returns whether every route with traffic passes with at least {@code minRequests} requests. */
  boolean stepPasses(long minRequests) {
    boolean anyTraffic = false;
    for (RouteEvidence evidence : byRoute.values()) {
      if (!evidence.hasTraffic()) {
        continue;
      }
      anyTraffic = true;
      if (!evidence.passes(minRequests)) {
        return false;
      }
    }
    return anyTraffic;
  }

  /** Returns whether the evidence of every route is below half of the fault threshold. */
  boolean isBelowWarningLevel() {
    return byRoute.values().stream().allMatch(RouteEvidence::isBelowWarningLevel);
  }

  /** Returns the increase of a route's share of failed and slow requests over the old version. */
  double badShareIncrease(String route) {
    RouteEvidence evidence = byRoute.get(route);
    return evidence == null ? 0 : evidence.badShareIncrease();
  }

  /** Returns the number of good requests of the new version since its last failed or slow one. */
  long consecutiveGood() {
    return consecutiveGood;
  }

  /** Returns the number of requests of the new version that have ended, over all routes. */
  long newEnded() {
    return newEnded;
  }
}
