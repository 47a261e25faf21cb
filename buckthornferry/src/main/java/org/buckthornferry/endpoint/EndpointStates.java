package org.buckthornferry.endpoint;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.control.BlackboardEntry;

/**
 * The status of every declared endpoint, by endpoint id. It may be out of date for endpoints that
 * another instance owns.
 *
 * @param revision increases with every change at this instance; 0 before the first change
 */
public record EndpointStates(long revision, Map<String, EndpointStatus> byEndpoint) {
  /** Contains no endpoint. */
  public static final EndpointStates EMPTY = new EndpointStates(0, Map.of());

  /** The blackboard entry of the states, written by {@link HealthController}. */
  public static final BlackboardEntry<EndpointStates> ENTRY =
      BlackboardEntry.of("endpoint-states", EMPTY);

  /** Copies the map. */
  public EndpointStates {
    byEndpoint = Collections.unmodifiableMap(new HashMap<>(byEndpoint));
  }

  /** Returns the status of an endpoint, or empty when it is not declared. */
  public Optional<EndpointStatus> of(String endpointId) {
    return Optional.ofNullable(byEndpoint.get(endpointId));
  }
}
