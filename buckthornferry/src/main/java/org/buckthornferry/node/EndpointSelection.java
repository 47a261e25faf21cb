package org.buckthornferry.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;

/** Chooses the endpoint of the active version with the fewest requests of this instance. */
final class EndpointSelection {
  private final Map<String, Integer> running = new HashMap<>();

  Optional<EndpointDeclaration> choose(ServiceDeclaration service) {
    EndpointDeclaration best = null;
    for (EndpointDeclaration endpoint : service.endpoints()) {
      if (!endpoint.version().equals(service.activeVersion())) {
        continue;
      }
      if (best == null || runningAt(endpoint.id()) < runningAt(best.id())) {
        best = endpoint;
      }
    }
    return Optional.ofNullable(best);
  }

  void started(String endpointId) {
    running.merge(endpointId, 1, Integer::sum);
  }

  void finished(String endpointId) {
    running.merge(endpointId, -1, Integer::sum);
  }

  private int runningAt(String endpointId) {
    return running.getOrDefault(endpointId, 0);
  }
}
