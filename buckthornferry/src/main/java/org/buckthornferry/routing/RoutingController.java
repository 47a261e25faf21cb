package org.buckthornferry.routing;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Controller;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.util.Checks;

/**
 * Decides whether, when and on which endpoint each request runs. Each submitted request leads to
 * exactly one dispatch or one refusal, unless a peer takes it or its caller cancels it. It is
 * dispatched again only after the endpoint explicitly refused to run it. Must tick after the shed
 * and health controllers, whose state it reads.
 */
public final class RoutingController implements Controller {
  private final RoutingSettings settings;
  private final RoutingDependencies dependencies;
  private final Map<String, ServiceRouter> services = new TreeMap<>();
  private final Map<String, String> serviceOfRequest = new java.util.HashMap<>();
  private long configRevision = -1;

  /** Creates a controller that reads the services from the configuration. */
  public RoutingController(RoutingSettings settings, RoutingDependencies dependencies) {
    this.settings = Checks.notNull(settings, "settings");
    this.dependencies = withRequestTracking(Checks.notNull(dependencies, "dependencies"));
  }

  /**
   * Accepts a request. The dispatcher is called once for it, now or later.
   *
   * @throws IllegalArgumentException when a request with the same id is tracked already
   */
  public void submit(PendingRequest request, long nowNanos) {
    applyConfiguration(nowNanos);
    ServiceRouter router = services.get(request.serviceId());
    if (router == null) {
      dependencies
          .dispatcher()
          .refuse(
              request,
              new RequestException(
                  ErrorKind.UNKNOWN_ROUTE, "no service " + request.serviceId() + " is declared"));
      return;
    }
    Checks.check(!serviceOfRequest.containsKey(request.requestId()), "request is already tracked");
    serviceOfRequest.put(request.requestId(), request.serviceId());
    router.submit(request, nowNanos);
  }

  /** Records the end of a dispatched request; repeated calls have no effect. */
  public void onCompleted(String requestId, RequestOutcome outcome, long nowNanos) {
    String serviceId = serviceOfRequest.get(requestId);
    ServiceRouter router = serviceId == null ? null : services.get(serviceId);
    if (router == null) {
      return;
    }
    if (outcome.kind() != RequestOutcome.Kind.REFUSED) {
      serviceOfRequest.remove(requestId);
    }
    router.onCompleted(requestId, outcome, nowNanos);
  }

  /**
   * Removes a waiting request whose caller has disconnected. A running request ends with {@link
   * #onCompleted}.
   */
  public void onCancelled(String requestId, long nowNanos) {
    String serviceId = serviceOfRequest.get(requestId);
    ServiceRouter router = serviceId == null ? null : services.get(serviceId);
    if (router != null && router.onCancelled(requestId, nowNanos)) {
      serviceOfRequest.remove(requestId);
    }
  }

  /** Returns the prompt tokens that endpoints processed for ended requests of a service. */
  public long computedPrefillTokens(String serviceId) {
    return router(serviceId).map(ServiceRouter::computedPrefillTokens).orElse(0L);
  }

  /**
   * Returns the processed prompt tokens of requests that did not succeed, and of non-critical
   * requests that ended after their deadline.
   */
  public long wastedPrefillTokens(String serviceId) {
    return router(serviceId).map(ServiceRouter::wastedPrefillTokens).orElse(0L);
  }

  /** Returns how many requests of a service wait at this instance. */
  public int waitingCount(String serviceId) {
    return router(serviceId).map(ServiceRouter::waitingCount).orElse(0);
  }

  @Override
  public void onTick(long nowNanos) {
    applyConfiguration(nowNanos);
    EndpointStates states = dependencies.blackboard().read(EndpointStates.ENTRY);
    int instanceCount = dependencies.blackboard().read(MembershipView.ENTRY).running().size();
    for (ServiceRouter router : services.values()) {
      router.onTick(states, instanceCount, nowNanos);
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    services.forEach(
        (serviceId, router) -> {
          Map<String, Object> values = new TreeMap<>();
          values.put("waiting", router.waitingCount());
          values.put("queueBytes", router.queue().usedBytes());
          for (Tier tier : Tier.values()) {
            values.put("queued" + tier.name(), router.queue().size(tier));
          }
          values.put("computedPrefillTokens", router.computedPrefillTokens());
          values.put("wastedPrefillTokens", router.wastedPrefillTokens());
          dump.put(serviceId, values);
        });
    return Map.of("routing", dump);
  }

  private Optional<ServiceRouter> router(String serviceId) {
    return Optional.ofNullable(services.get(serviceId));
  }

  private void applyConfiguration(long nowNanos) {
    ConfigSnapshot snapshot = dependencies.blackboard().read(ConfigSnapshot.ENTRY);
    if (snapshot.revision() == configRevision) {
      return;
    }
    configRevision = snapshot.revision();
    Set<String> declared = new HashSet<>();
    for (ServiceDeclaration service : snapshot.declarations().services()) {
      declared.add(service.id());
      dependencies.shed().serve(service.id(), nowNanos);
      ServiceRouter known = services.get(service.id());
      if (known == null) {
        services.put(service.id(), new ServiceRouter(service, settings, dependencies));
      } else {
        known.declare(service);
      }
    }
    for (Map.Entry<String, ServiceRouter> entry : services.entrySet()) {
      if (!declared.contains(entry.getKey())) {
        entry.getValue().refuseAllWaiting(nowNanos);
      }
    }
  }

  /**
   * Wraps the dispatcher and the handover so that a refused or handed-over request is untracked.
   */
  private RoutingDependencies withRequestTracking(RoutingDependencies given) {
    Dispatcher dispatcher =
        new Dispatcher() {
          @Override
          public void dispatch(PendingRequest request, String endpointId) {
            given.dispatcher().dispatch(request, endpointId);
          }

          @Override
          public void refuse(PendingRequest request, RequestException reason) {
            serviceOfRequest.remove(request.requestId());
            given.dispatcher().refuse(request, reason);
          }

          @Override
          public void move(PendingRequest request, String endpointId) {
            given.dispatcher().move(request, endpointId);
          }
        };
    PeerHandover peers =
        (request, nowNanos) -> {
          boolean taken = given.peers().handOver(request, nowNanos);
          if (taken) {
            serviceOfRequest.remove(request.requestId());
          }
          return taken;
        };
    return new RoutingDependencies(
        given.blackboard(),
        given.shed(),
        given.health(),
        given.quarantine(),
        given.costs(),
        given.prefixes(),
        given.limits(),
        given.versions(),
        peers,
        dispatcher,
        given.demand());
  }
}
