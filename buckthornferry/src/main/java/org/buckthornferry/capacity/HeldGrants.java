package org.buckthornferry.capacity;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.peer.Amounts;

/**
 * A recent snapshot of the grants of this instance, for dumps and coarse decisions. Only {@link
 * GrantHolder} decides whether a request may start.
 */
public record HeldGrants(Map<String, Held> byEndpoint) {
  /** No grants. */
  public static final HeldGrants EMPTY = new HeldGrants(Map.of());

  /** The grants of this instance; written by {@link CapacityController}. */
  public static final BlackboardEntry<HeldGrants> ENTRY = BlackboardEntry.of("grants", EMPTY);

  /**
   * The grant for one endpoint.
   *
   * @param usable the total that may run
   * @param running what is running
   * @param cold whether the endpoint is known to be in cold start
   */
  public record Held(Amounts usable, Amounts running, boolean cold) {}

  /** Copies the map, sorted by endpoint id. */
  public HeldGrants {
    byEndpoint = Collections.unmodifiableMap(new TreeMap<>(byEndpoint));
  }
}
