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
 * @param processorShares processor time that the instances may use, in cores, by instance id
 */
public record FleetView(
    Map<String, InetSocketAddress> listed,
    Map<String, InetSocketAddress> lapsed,
    Map<String, String> failureDomains,
    Map<String, InetSocketAddress> forwardAddresses,
    Map<String, Double> processorShares) {
  /** Value before the first listing. */
  public static final FleetView EMPTY = new FleetView(Map.of(), Map.of(), Map.of());

  /** The processor share of an instance that does not state it, in cores. */
  public static final double DEFAULT_PROCESSOR_SHARE = 1.0;

  /**
   * The part of the largest processor share that a coordinator needs. A small instance would spend
   * most of its processor time on the calls of the others.
   */
  private static final double MIN_COORDINATOR_SHARE = 0.5;

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
    processorShares = Map.copyOf(processorShares);
  }

  /** Creates a view of instances that forward no requests and have equal processor shares. */
  public FleetView(
      Map<String, InetSocketAddress> listed,
      Map<String, InetSocketAddress> lapsed,
      Map<String, String> failureDomains) {
    this(listed, lapsed, failureDomains, Map.of(), Map.of());
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

  /** Returns the ids of the instances that have enough processor time to coordinate a queue. */
  public List<String> coordinatorIds() {
    List<String> ids = instanceIds();
    double largest = ids.stream().mapToDouble(this::processorShare).max().orElse(0);
    return ids.stream()
        .filter(id -> processorShare(id) >= MIN_COORDINATOR_SHARE * largest)
        .toList();
  }

  private double processorShare(String instanceId) {
    return processorShares.getOrDefault(instanceId, DEFAULT_PROCESSOR_SHARE);
  }

  /** Returns the number of instances that share a fleet-wide bound. */
  public int instanceCount() {
    return listed.isEmpty() ? ASSUMED_INSTANCES : listed.size() + lapsed.size();
  }
}
