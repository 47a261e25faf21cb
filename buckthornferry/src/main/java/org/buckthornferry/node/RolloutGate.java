package org.buckthornferry.node;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.rollout.CompletedRequest;
import org.buckthornferry.rollout.RolloutController;
import org.buckthornferry.routing.RequestOutcome;
import org.buckthornferry.routing.VersionGate;

/** Applies rollouts to routing decisions and reports the outcomes of requests to them. */
final class RolloutGate implements VersionGate {
  /** How long only the preferred version may take the next request before others may again. */
  private static final long PREFERENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final RolloutController rollouts;
  private final Map<String, String> routeByRequestId = new HashMap<>();
  private final Map<String, Long> preferredSinceNanos = new HashMap<>();

  RolloutGate(RolloutController rollouts) {
    this.rollouts = rollouts;
  }

  @Override
  public boolean mayDispatch(String serviceId, String version, long nowNanos) {
    if (!rollouts.mayDispatch(serviceId, version)) {
      return false;
    }
    boolean preferred = rollouts.preferredVersion(serviceId).map(version::equals).orElse(true);
    if (preferred) {
      return true;
    }
    long sinceNanos = preferredSinceNanos.computeIfAbsent(serviceId, id -> nowNanos);
    return nowNanos - sinceNanos >= PREFERENCE_NANOS;
  }

  @Override
  public void onDispatched(
      String requestId, String serviceId, String version, String routePath, long nowNanos) {
    preferredSinceNanos.remove(serviceId);
    routeByRequestId.put(requestId, routePath);
    rollouts.dispatched(serviceId, version);
  }

  @Override
  public void onCompleted(
      String requestId, String serviceId, String version, RequestOutcome outcome, long nowNanos) {
    String route = routeByRequestId.remove(requestId);
    if (!outcome.kind().isVersionEvidence()) {
      rollouts.ended(serviceId, version);
      return;
    }
    rollouts.completed(
        new CompletedRequest(
            serviceId,
            version,
            route == null ? "unknown" : route,
            outcome.kind() != RequestOutcome.Kind.SUCCEEDED,
            latencyPerTokenNanos(outcome)));
  }

  private static double latencyPerTokenNanos(RequestOutcome outcome) {
    return (double) outcome.totalNanos() / Math.max(1, outcome.decodeTokens());
  }
}
