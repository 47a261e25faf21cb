package org.buckthornferry.capacity;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.peer.Amounts;

/**
 * What this instance held a short time ago, for dumps and coarse decisions. Whether a request may
 * start is decided by {@link GrantHolder} alone.
 */
public record HeldGrants(Map<String, Held> byEndpoint) {
  /** Nothing held. */
  public static final HeldGrants EMPTY = new HeldGrants(Map.of());

  /** The grants of this instance; written by {@link CapacityController}. */
  public static final BlackboardEntry<HeldGrants> ENTRY = BlackboardEntry.of("grants", EMPTY);

  /**
   * What is held for one endpoint.
   *
   * @param usable what may run in all
   * @param running what runs
   * @param cold whether the endpoint is known to be in cold start
   */
  public record Held(Amounts usable, Amounts running, boolean cold) {}

  /** Copies the map in the order of endpoint ids. */
  public HeldGrants {
    byEndpoint = Collections.unmodifiableMap(new TreeMap<>(byEndpoint));
  }
}
