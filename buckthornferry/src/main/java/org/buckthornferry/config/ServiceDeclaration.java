package org.buckthornferry.config;

import java.util.List;
import java.util.Optional;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.util.Checks;

/**
 * The declaration of a service with its routes, tiers and endpoints.
 *
 * @param activeVersion the version that serves all requests when no rollout is declared
 * @param rollout the declared rollout, or empty
 */
public record ServiceDeclaration(
    String id,
    ServiceKind kind,
    String activeVersion,
    List<RouteDeclaration> routes,
    List<TierDeclaration> tiers,
    List<EndpointDeclaration> endpoints,
    Optional<RolloutDeclaration> rollout) {
  /** Copies the lists and checks that the identifiers are present. */
  public ServiceDeclaration {
    Checks.notEmpty(id, "id");
    Checks.notNull(kind, "kind");
    Checks.notEmpty(activeVersion, "activeVersion");
    routes = List.copyOf(Checks.notNull(routes, "routes"));
    tiers = List.copyOf(Checks.notNull(tiers, "tiers"));
    endpoints = List.copyOf(Checks.notNull(endpoints, "endpoints"));
    rollout = rollout == null ? Optional.empty() : rollout;
  }

  /**
   * Returns the limits of a tier.
   *
   * @throws IllegalArgumentException when the service declares no such tier
   */
  public TierDeclaration tier(Tier tier) {
    for (TierDeclaration declaration : tiers) {
      if (declaration.tier() == tier) {
        return declaration;
      }
    }
    throw new IllegalArgumentException("service " + id + " declares no tier " + tier);
  }
}
