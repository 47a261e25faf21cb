package org.buckthornferry.routing;

import org.buckthornferry.admission.ShedController;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.HealthController;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.Quarantine;
import org.buckthornferry.util.Checks;

/** The components that routing depends on; one set per instance. */
public record RoutingDependencies(
    Blackboard blackboard,
    ShedController shed,
    HealthController health,
    Quarantine quarantine,
    CostEstimator costs,
    PrefixIndex prefixes,
    ConcurrencyLimits limits,
    VersionGate versions,
    PeerHandover peers,
    Dispatcher dispatcher,
    DemandListener demand) {
  /** Checks that every dependency is present. */
  public RoutingDependencies {
    Checks.notNull(blackboard, "blackboard");
    Checks.notNull(shed, "shed");
    Checks.notNull(health, "health");
    Checks.notNull(quarantine, "quarantine");
    Checks.notNull(costs, "costs");
    Checks.notNull(prefixes, "prefixes");
    Checks.notNull(limits, "limits");
    Checks.notNull(versions, "versions");
    Checks.notNull(peers, "peers");
    Checks.notNull(dispatcher, "dispatcher");
    Checks.notNull(demand, "demand");
  }
}
