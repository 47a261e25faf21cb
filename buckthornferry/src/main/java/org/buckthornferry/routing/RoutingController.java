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
 * Decides for every request whether, when and where it runs. Each submitted request leads to
 * exactly one dispatch or one refusal, unless a peer takes it or its caller cancels it; only an
 * endpoint's explicit refusal to run it may be followed by another dispatch. Ticks after the shed
 * and health controllers, whose state it reads.
 */
public final class RoutingController implements Controller {
  private final RoutingSettings settings;
  private final RoutingDependencies with;
  private final Map<String, ServiceRouter> services = new TreeMap<>();
  private final Map<String, String> serviceOfRequest = new java.util.HashMap<>();
  private long configRevision = -1;

  /** Creates a controller that takes the services from the configuration. */
  public RoutingController(RoutingSettings settings, RoutingDependencies with) {
    this.settings = Checks.notNull(settings, "settings");
    this.with = withBookkeeping(Checks.notNull(with, "with"));
  }

  /**
   * Takes a request. The dispatcher is called once, now or later.
   *
   * @throws IllegalArgumentException when a request with the same id is held already
   */
  public void submit(PendingRequest request, long nowNanos) {
    takeConfiguration(nowNanos);
    ServiceRouter router = services.get(request.serviceId());
    if (router == null) {
      with.dispatcher()
          .refuse(
              request,
              new RequestException(
                  ErrorKind.UNKNOWN_ROUTE, "no service " + request.serviceId() + " is declared"));
      return;
    }
    Checks.check(!serviceOfRequest.containsKey(request.requestId()), "request is held already");
    serviceOfRequest.put(request.requestId(), request.serviceId());
    router.submit(request, nowNanos);
  }

  /** Handles the end of a dispatched request; repeated calls have no effect. */
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
   * Forgets a request that waits because its caller has gone. A request that runs already ends with
   * {@link #onCompleted}.
   */
  public void onCancelled(String requestId, long nowNanos) {
    String serviceId = serviceOfRequest.get(requestId);
    ServiceRouter router = serviceId == null ? null : services.get(serviceId);
    if (router != null && router.onCancelled(requestId, nowNanos)) {
      serviceOfRequest.remove(requestId);
    }
  }

  /** Returns the prompt tokens that endpoints processed for finished requests of a service. */
  public long computedPrefillTokens(String serviceId) {
    return router(serviceId).map(ServiceRouter::computedPrefillTokens).orElse(0L);
  }

  /**
   * Returns the processed prompt tokens of requests that did not end well, or that ended too late
   * although they were not critical.
   */
  public long wastedPrefillTokens(String serviceId) {
    return router(serviceId).map(ServiceRouter::wastedPrefillTokens).orElse(0L);
  }

  /** Returns the requests of a service that wait at this instance. */
  public int waitingCount(String serviceId) {
    return router(serviceId).map(ServiceRouter::waitingCount).orElse(0);
  }

  @Override
  public void onTick(long nowNanos) {
    takeConfiguration(nowNanos);
    EndpointStates states = with.blackboard().read(EndpointStates.ENTRY);
    int instances = with.blackboard().read(MembershipView.ENTRY).running().size();
    for (ServiceRouter router : services.values()) {
      router.onTick(states, instances, nowNanos);
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

  private void takeConfiguration(long nowNanos) {
    ConfigSnapshot snapshot = with.blackboard().read(ConfigSnapshot.ENTRY);
    if (snapshot.revision() == configRevision) {
      return;
    }
    configRevision = snapshot.revision();
    Set<String> declared = new HashSet<>();
    for (ServiceDeclaration service : snapshot.declarations().services()) {
      declared.add(service.id());
      with.shed().serve(service.id(), nowNanos);
      ServiceRouter known = services.get(service.id());
      if (known == null) {
        services.put(service.id(), new ServiceRouter(service, settings, with));
      } else {
        known.declare(service);
      }
    }
    for (Map.Entry<String, ServiceRouter> entry : services.entrySet()) {
      if (!declared.contains(entry.getKey())) {
        entry.getValue().withdraw(nowNanos);
      }
    }
  }

  /** Forgets the service of a request as soon as it is refused or handed over. */
  private RoutingDependencies withBookkeeping(RoutingDependencies given) {
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
