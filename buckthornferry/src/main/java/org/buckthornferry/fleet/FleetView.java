package org.buckthornferry.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.buckthornferry.control.BlackboardEntry;

/**
 * The instances of the deployment.
 *
 * @param listed the registered ones and this one, with where they listen for each other
 * @param lapsed those whose registration has ended lately; they may have lost only the store
 * @param failureDomains the failure domains of the listed ones
 */
public record FleetView(
    Map<String, InetSocketAddress> listed,
    Map<String, InetSocketAddress> lapsed,
    Map<String, String> failureDomains) {
  /** Holds before the first listing. */
  public static final FleetView EMPTY = new FleetView(Map.of(), Map.of(), Map.of());

  /** The current view. */
  public static final BlackboardEntry<FleetView> ENTRY = BlackboardEntry.of("fleet", EMPTY);

  /** Assumed while no instance has been listed, so that unknown others have their parts. */
  private static final int UNKNOWN_INSTANCES = 16;

  /** Copies the maps. */
  public FleetView {
    listed = Map.copyOf(listed);
    lapsed = Map.copyOf(lapsed);
    failureDomains = Map.copyOf(failureDomains);
  }

  /** Returns the listed instances of a failure domain. */
  public List<String> instancesIn(String failureDomain) {
    return listed.keySet().stream()
        .filter(id -> failureDomain.equals(failureDomains.get(id)))
        .sorted()
        .toList();
  }

  /** Returns the instances that may be at work; they share what is bounded over all of them. */
  public List<String> instanceIds() {
    Set<String> ids = new TreeSet<>(listed.keySet());
    ids.addAll(lapsed.keySet());
    return List.copyOf(ids);
  }

  /** Returns the number of instances that share a bound. */
  public int instanceCount() {
    return listed.isEmpty() ? UNKNOWN_INSTANCES : listed.size() + lapsed.size();
  }
}
