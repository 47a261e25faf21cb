package org.buckthornferry.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.buckthornferry.control.BlackboardEntry;

/**
 * The instances of the deployment.
 *
 * @param listed the registered instances, with their peer addresses; this instance belongs to them
 *     until its registration has ended
 * @param lapsed instances whose registration ended recently; they may only have lost the store
 * @param failureDomains failure domains of the listed instances, by instance id
 * @param forwardAddresses addresses at which listed instances take requests to endpoints from
 *     instances that are cut off from these
 */
public record FleetView(
    Map<String, InetSocketAddress> listed,
    Map<String, InetSocketAddress> lapsed,
    Map<String, String> failureDomains,
    Map<String, InetSocketAddress> forwardAddresses) {
  /** Value before the first listing. */
  public static final FleetView EMPTY = new FleetView(Map.of(), Map.of(), Map.of(), Map.of());

  /** Blackboard entry of the current view. */
  public static final BlackboardEntry<FleetView> ENTRY = BlackboardEntry.of("fleet", EMPTY);

  /**
   * Number of instances assumed before the first listing, so that others, still unknown, keep their
   * part of a shared bound.
   */
  private static final int ASSUMED_INSTANCES = 16;

  /** Copies the maps. */
  public FleetView {
    listed = Map.copyOf(listed);
    lapsed = Map.copyOf(lapsed);
    failureDomains = Map.copyOf(failureDomains);
    forwardAddresses = Map.copyOf(forwardAddresses);
  }

  /** Creates a view of instances that forward no requests. */
  public FleetView(
      Map<String, InetSocketAddress> listed,
      Map<String, InetSocketAddress> lapsed,
      Map<String, String> failureDomains) {
    this(listed, lapsed, failureDomains, Map.of());
  }

  /** Returns the ids of the listed instances in a failure domain, sorted. */
  public List<String> instancesIn(String failureDomain) {
    return listed.keySet().stream()
        .filter(id -> failureDomain.equals(failureDomains.get(id)))
        .sorted()
        .toList();
  }

  /**
   * Returns the ids of all instances that may be running; fleet-wide bounds are divided among them.
   */
  public List<String> instanceIds() {
    Set<String> ids = new TreeSet<>(listed.keySet());
    ids.addAll(lapsed.keySet());
    return List.copyOf(ids);
  }

  /** Returns the peer addresses of all instances that may be running. */
  public Map<String, InetSocketAddress> addresses() {
    if (lapsed.isEmpty()) {
      return listed;
    }
    Map<String, InetSocketAddress> addresses = new HashMap<>(lapsed);
    addresses.putAll(listed);
    return addresses;
  }

  /** Returns the number of instances that share a fleet-wide bound. */
  public int instanceCount() {
    return listed.isEmpty() ? ASSUMED_INSTANCES : listed.size() + lapsed.size();
  }
}
