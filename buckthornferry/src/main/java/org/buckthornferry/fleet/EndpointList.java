package org.buckthornferry.fleet;

import java.util.List;
import java.util.Optional;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.BlackboardEntry;

/**
 * The endpoints that may get requests.
 *
 * @param isKnown whether the list has been read at least once
 */
public record EndpointList(List<Endpoint> endpoints, boolean isKnown) {
  /** Value before the first listing. */
  public static final EndpointList UNKNOWN = new EndpointList(List.of(), false);

  /** Blackboard entry of the current list. */
  public static final BlackboardEntry<EndpointList> ENTRY =
      BlackboardEntry.of("endpoints", UNKNOWN);

  /** Copies the list. */
  public EndpointList {
    endpoints = List.copyOf(endpoints);
  }

  /** Returns the endpoint of a process, or empty if it is not listed. */
  Optional<Endpoint> process(String processKey) {
    return endpoints.stream()
        .filter(endpoint -> endpoint.processKey().equals(processKey))
        .findFirst();
  }
}
