package org.buckthornferry.rollout;

import java.util.Optional;
import java.util.TreeMap;

/**
 * The evidence of one move over all routes, from cumulative counters of any number of instances.
 */
final class MoveEvidence {
  private final FaultTerms terms;
  private final TreeMap<String, RouteEvidence> byRoute = new TreeMap<>();
  private final TreeMap<Source, RouteCounts> lastReadings = new TreeMap<>();
  private long newEnded;
  private long goodSinceBad;

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

  MoveEvidence(FaultTerms terms) {
    this.terms = terms;
  }

  /**
   * Adds the growth of an instance's counters. Readings that arrive twice or out of order add
   * nothing.
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
      goodSinceBad = bad ? 0 : goodSinceBad + growth.ended();
      evidence.addNew(growth, terms);
    } else {
      evidence.addOld(growth);
    }
  }

  void stepStarted() {
    byRoute.values().forEach(RouteEvidence::stepStarted);
  }

  /** Returns the first route with a fault and its reason, or empty. */
  Optional<String> fault() {
    for (var entry : byRoute.entrySet()) {
      if (entry.getValue().showsFault()) {
        return Optional.of("route " + entry.getKey() + ": " + entry.getValue().faultReason());
      }
    }
    return Optional.empty();
  }

  /** Returns whether every route with traffic passes with at least {@code minRequests}. */
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

  /** Returns whether no route's evidence comes near a fault. */
  boolean isUnsuspicious() {
    return byRoute.values().stream().allMatch(RouteEvidence::isUnsuspicious);
  }

  /** Returns by how much a route's share of bad requests is above the old version's. */
  double badShareRise(String route) {
    RouteEvidence evidence = byRoute.get(route);
    return evidence == null ? 0 : evidence.badShareRise();
  }

  /** Returns the good requests of the new version since its last failed or slow one. */
  long goodSinceBad() {
    return goodSinceBad;
  }

  /** Returns the requests of the new version that ended, over all routes. */
  long newEnded() {
    return newEnded;
  }
}
