package org.buckthornferry.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Route;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.ForwardingPeers;
import org.buckthornferry.duty.UsageCounter;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.fleet.ContentQuarantine;
import org.buckthornferry.fleet.EndpointLimits;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PartQuarantine;
import org.buckthornferry.fleet.RolloutCoordinator;
import org.buckthornferry.fleet.SharedAllowances;
import org.buckthornferry.fleet.SharedAllowances.Decision;
import org.buckthornferry.fleetqueue.QueueClient;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.scaling.DemandCounter;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Handles caller requests: admission, rate limits and forwarding to endpoints. Used by one thread
 * only, the event loop of the server, the connector and the scheduler.
 */
public final class Relay implements HttpHandler {
  private static final Logger LOG = Logger.getLogger(Relay.class);

  /** The retry delay sent to callers while the instance has no configuration. */
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 500;

  /** The retry delay sent during shutdown; short because another instance serves the retry. */
  static final long SHUTDOWN_RETRY_AFTER_MILLIS = 50;

  /**
   * A request whose time budget is below the route's largest budget by more than this share is a
   * caller's retry; the budgets of first attempts differ by less.
   */
  private static final double RETRY_BUDGET_GAP_SHARE = 0.2;

  /** The average share by which the budget of a first attempt is below the route's largest. */
  private static final double TYPICAL_BUDGET_VARIATION_SHARE = 0.1;

  /**
   * The maximum wait for the customer's rate limit, as a share of the route's latency goal. A short
   * wait costs the caller less than a retry, and callers retry only once or twice.
   */
  private static final double MAX_ALLOWANCE_WAIT_SHARE = 0.125;

  /** The share of each route's requests that acquires its allowance at the highest priority. */
  private static final double GUARANTEED_ALLOWANCE_SHARE = 0.2;

  /** The minimum delay before an allowance is requested again. */
  private static final long MIN_ALLOWANCE_RETRY_DELAY_MILLIS = 5;

  /** The interval between two load log lines. */
  private static final long LOAD_LOG_INTERVAL_MILLIS = 5_000;

  private final RelayEnvironment environment;
  private final Map<String, Long> maxBudgetMillisByRoute = new HashMap<>();
  private final String selfId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final ForwardingPeers forwarders;
  private final EndpointClient endpointClient;
  private final ForwardHandler forwardHandler;
  private final SharedAllowances allowances;
  private final LoadLog loadLog;
  private final Set<RelayedRequest> relayed = new LinkedHashSet<>();
  private int inProgress;
  private boolean isShuttingDown;

  /** Creates a relay without services. */
  public Relay(
      Blackboard blackboard,
      SharedAllowances allowances,
      ContentQuarantine quarantine,
      PartQuarantine partQuarantine,
      RolloutCoordinator rollouts,
      EndpointLimits limits,
      UsageCounter usage,
      DemandCounter demand,
      HttpConnector connector,
      CallerProtocol callers,
      EndpointProtocol endpoints,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry,
      BiFunction<String, QueueClient.Listener, QueueClient> queueClients,
      String selfId,
      String ownDomain,
      RandomGenerator random) {
    this.environment =
        new RelayEnvironment(
            blackboard,
            connector,
            quarantine,
            partQuarantine,
            rollouts,
            limits,
            usage,
            demand,
            callers,
            endpoints,
            scheduler,
            clock,
            new RelayMetrics(registry),
            queueClients);
    this.allowances = allowances;
    this.loadLog = new LoadLog(environment.metrics());
    this.selfId = selfId;
    this.ownDomain = ownDomain;
    this.random = random;
    this.forwarders = new ForwardingPeers(ownDomain, random);
    this.endpointClient = new EndpointClient(environment, forwarders);
    this.forwardHandler =
        new ForwardHandler(environment, name -> Optional.ofNullable(queues.get(name)));
    connector.onConnect(this::onConnect);
    limits.countRunningWith(this::running);
    registry.gauge("relay.in_progress", () -> (Gauge<Integer>) () -> inProgress);
    registry.gauge("relay.waiting", () -> (Gauge<Integer>) this::waiting);
  }

  /** Starts the periodic load log. */
  public void start() {
    environment.scheduler().schedule(this::logLoad, LOAD_LOG_INTERVAL_MILLIS);
  }

  private void logLoad() {
    loadLog.write(queues.values(), inProgress);
    environment.scheduler().schedule(this::logLoad, LOAD_LOG_INTERVAL_MILLIS);
  }

  /** Applies changes of configuration, endpoints or instances from the blackboard. */
  public void refresh() {
    Catalog catalog = environment.blackboard().read(Catalog.ENTRY);
    EndpointList list = environment.blackboard().read(EndpointList.ENTRY);
    FleetView fleet = environment.blackboard().read(FleetView.ENTRY);
    setForwarders(fleet);
    Map<String, List<Endpoint>> byService = new HashMap<>();
    for (Endpoint endpoint : list.endpoints()) {
      byService.computeIfAbsent(endpoint.serviceName(), name -> new ArrayList<>()).add(endpoint);
    }
    for (Service service : catalog.services()) {
      ServiceQueue queue = queues.get(service.name());
      if (queue == null) {
        queue =
            new ServiceQueue(
                service,
                selfId,
                ownDomain,
                environment,
                forwarders,
                this::probeReachability,
                random);
        queues.put(service.name(), queue);
      }
      queue.update(service, byService.getOrDefault(service.name(), List.of()), fleet.instanceIds());
    }
    maxBudgetMillisByRoute.keySet().retainAll(catalog.routeNames());
    allowances.refresh();
    environment.quarantine().refresh();
    environment.partQuarantine().refresh();
    environment.limits().refresh();
  }

  private void setForwarders(FleetView fleet) {
    Map<String, String> domains = new HashMap<>();
    for (String id : fleet.forwardAddresses().keySet()) {
      if (!id.equals(selfId)) {
        domains.put(id, fleet.failureDomains().getOrDefault(id, ""));
      }
    }
    forwarders.setPeers(domains);
  }

  /** Returns the handler of requests to endpoints from instances that are cut off from these. */
  public HttpHandler forwardHandler() {
    return forwardHandler;
  }

  private int running(Endpoint endpoint) {
    ServiceQueue queue = queues.get(endpoint.serviceName());
    return queue == null ? 0 : queue.running(endpoint);
  }

  private void onConnect(InetSocketAddress address, boolean isConnected) {
    for (Endpoint endpoint : environment.blackboard().read(EndpointList.ENTRY).endpoints()) {
      ServiceQueue queue = queues.get(endpoint.serviceName());
      if (endpoint.address().equals(address) && queue != null) {
        queue.onConnect(endpoint, isConnected);
      }
    }
  }

  /** A cut from the endpoints of one service may be one from all. */
  private void probeReachability() {
    queues.values().forEach(ServiceQueue::probeReachability);
  }

  /** Rejects all further requests, which have not run; requests in progress continue. */
  public void close() {
    isShuttingDown = true;
    forwardHandler.close();
  }

  /** Refuses to pass on further requests of other instances; those in progress continue. */
  public void stopForwarding() {
    forwardHandler.close();
  }

  /** Gives the callers of all requests in progress their final answers. */
  public void endRequests() {
    List.copyOf(relayed).forEach(RelayedRequest::endBeforeShutdown);
  }

  /** Returns the number of requests, own and forwarded ones, whose response is not complete. */
  public int inProgress() {
    return inProgress + forwardHandler.inProgress();
  }

  /** Returns the state of the endpoints by service, for the state dump. */
  public Map<String, List<String>> describe() {
    Map<String, List<String>> result = new TreeMap<>();
    queues.forEach((name, queue) -> result.put(name, queue.describe()));
    return result;
  }

  @Override
  public void handle(HttpExchange exchange) {
    long nowNanos = environment.clock().nanoTime();
    Optional<CallerRequest> request = Optional.empty();
    try {
      request = Optional.of(environment.callers().decode(exchange));
      admit(exchange, request.get(), nowNanos);
    } catch (RequestException e) {
      reject(exchange, request.map(CallerRequest::requestId).orElse("unknown"), e);
    }
  }

  private void admit(HttpExchange exchange, CallerRequest request, long nowNanos) {
    if (isShuttingDown) {
      throw new RequestException(
          ErrorKind.SHUTTING_DOWN, "the instance is about to end", SHUTDOWN_RETRY_AFTER_MILLIS);
    }
    Catalog catalog = environment.blackboard().read(Catalog.ENTRY);
    if (catalog.version() == 0) {
      throw new RequestException(
          ErrorKind.NOT_READY,
          "the configuration has not been read yet",
          NOT_READY_RETRY_AFTER_MILLIS);
    }
    Route route =
        catalog
            .route(request.host(), request.path())
            .orElseThrow(
                () ->
                    new RequestException(
                        ErrorKind.UNKNOWN_ROUTE, "no route in version " + catalog.version()));
    Optional<Customer> customer = customer(catalog, route, request);
    Optional<RequestException> quarantined =
        quarantinedContent(environment.quarantine(), request, customer);
    if (quarantined.isPresent()) {
      throw quarantined.get();
    }
    String serviceName = route.chooseService(random.nextDouble());
    ServiceQueue queue = queues.get(serviceName);
    if (queue == null) {
      throw new RequestException(
          ErrorKind.NO_ENDPOINT,
          "service " + serviceName + " is unknown",
          NOT_READY_RETRY_AFTER_MILLIS);
    }
    CheckedRequest checked =
        new CheckedRequest(exchange, request, route, queue, customer, nowNanos, false);
    Optional<PartQuarantine.Refusal> refusal =
        environment.partQuarantine().refusal(request.sharedPartIds());
    if (refusal.isEmpty()) {
      relayWithAllowance(checked);
      return;
    }
    inProgress++;
    Completions.onComplete(
        environment.partQuarantine().requestTrial(refusal.get()),
        (isTrial, failure) -> {
          inProgress--;
          if (failure == null && isTrial) {
            relayWithAllowance(checked.asTrial());
          } else {
            reject(exchange, request.requestId(), quarantined(refusal.get()));
          }
        });
  }

  static RequestException quarantined(PartQuarantine.Refusal refusal) {
    return new RequestException(
        ErrorKind.QUARANTINED, "parts " + refusal.parts(), refusal.remainingMillis());
  }

  private void relayWithAllowance(CheckedRequest checked) {
    if (checked.customer.isEmpty()) {
      relay(checked, wasSent -> {});
      return;
    }
    inProgress++;
    acquireAllowance(checked, checked.customer.get());
  }

  /** Returns why a request is to be refused if its content crashes endpoints. */
  static Optional<RequestException> quarantinedContent(
      ContentQuarantine quarantine, CallerRequest request, Optional<Customer> customer) {
    if (quarantine.isEmpty()) {
      return Optional.empty();
    }
    String hash = request.contentHash(customer);
    if (quarantine.verdict(hash) != Verdict.QUARANTINED) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestException(
            ErrorKind.QUARANTINED, "content " + hash, quarantine.remainingMillis(hash)));
  }

  /**
   * A request that has passed the route, customer key and quarantine checks.
   *
   * @param isTrial whether it is sent although its parts are quarantined, as the only one
   */
  private record CheckedRequest(
      HttpExchange exchange,
      CallerRequest request,
      Route route,
      ServiceQueue queue,
      Optional<Customer> customer,
      long arrivalNanos,
      boolean isTrial) {
    private CheckedRequest asTrial() {
      return new CheckedRequest(exchange, request, route, queue, customer, arrivalNanos, true);
    }
  }

  private void acquireAllowance(CheckedRequest checked, Customer customer) {
    double cost = customer.rateLimit().cost(checked.request.totalTokens());
    Completions.onComplete(
        allowances.take(
            customer,
            new SharedAllowances.AllowanceRequest(
                cost, allowancePriority(checked.route), checked.queue.hasFreeSlots())),
        (decision, failure) -> {
          long retryDelayMillis = Math.max(MIN_ALLOWANCE_RETRY_DELAY_MILLIS, decision.waitMillis());
          long waitedMillis =
              TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - checked.arrivalNanos);
          boolean isShortWait =
              waitedMillis + retryDelayMillis
                  <= MAX_ALLOWANCE_WAIT_SHARE * checked.route.latencyGoalMillis();
          if (!decision.isGranted() && isShortWait) {
            LOG.infof(
                "request.allowance_awaited id=%s customer=%s cost=%.0f part=%s owner=%s"
                    + " pauseMillis=%d waitedMillis=%d",
                checked.request.requestId(),
                customer.name(),
                cost,
                decision.source(),
                decision.ownerId(),
                retryDelayMillis,
                waitedMillis);
            environment
                .scheduler()
                .schedule(() -> acquireAllowance(checked, customer), retryDelayMillis);
            return;
          }
          inProgress--;
          onAllowanceDecision(checked, customer, cost, decision);
        });
  }

  /** Gives a share of each route's requests the highest priority, to prevent starvation. */
  private int allowancePriority(Route route) {
    return random.nextDouble() < GUARANTEED_ALLOWANCE_SHARE ? 0 : route.priority();
  }

  private void onAllowanceDecision(
      CheckedRequest checked, Customer customer, double cost, Decision decision) {
    if (!decision.isGranted()) {
      reject(
          checked.exchange,
          checked.request.requestId(),
          new RequestException(
              ErrorKind.RATE_LIMITED,
              String.format(
                  "customer %s cost %.0f of %.0f per second, part %s, owner %s",
                  customer.name(),
                  cost,
                  customer.rateLimit().perSecond(),
                  decision.source(),
                  decision.ownerId()),
              decision.waitMillis()));
      return;
    }
    relay(
        checked,
        wasSent -> {
          if (!wasSent) {
            allowances.refund(customer, cost, decision);
          }
        });
  }

  private void relay(CheckedRequest checked, Consumer<Boolean> onEnded) {
    CallerRequest request = checked.request;
    Route route = checked.route;
    RelayedRequest relayedRequest =
        new RelayedRequest(
            environment,
            endpointClient,
            checked.queue,
            checked.exchange,
            request,
            route,
            checked.customer,
            checked.arrivalNanos,
            priorWaitMillis(route, request),
            checked.isTrial,
            (ended, wasSent) -> {
              inProgress--;
              relayed.remove(ended);
              onEnded.accept(wasSent);
            });
    inProgress++;
    relayed.add(relayedRequest);
    environment.metrics().admitted.inc();
    LOG.infof(
        "request.admitted id=%s route=%s service=%s customer=%s config=%d waiting=%d"
            + " promptTokens=%d sharedPart=%s outputTokens=%d rank=%s budgetMillis=%d returned=%s",
        request.requestId(),
        route.name(),
        checked.queue.serviceName(),
        checked.customer.map(Customer::name).orElse("-"),
        environment.blackboard().read(Catalog.ENTRY).version(),
        checked.queue.waiting(),
        request.promptTokens(),
        request.promptPrefix().rootId(),
        request.maxOutputTokens(),
        relayedRequest.priority().customerPriority()
            + "."
            + relayedRequest.priority().routePriority(),
        request.timeBudgetMillis().orElse(-1),
        relayedRequest.isCallerRetry());
    relayedRequest.start();
  }

  /**
   * Returns how long the caller has already waited for earlier attempts, estimated from the largest
   * time budget that callers of the route have stated.
   */
  private long priorWaitMillis(Route route, CallerRequest request) {
    if (request.timeBudgetMillis().isEmpty()) {
      return 0;
    }
    long budgetMillis = request.timeBudgetMillis().getAsLong();
    long maxBudgetMillis = maxBudgetMillisByRoute.merge(route.name(), budgetMillis, Math::max);
    return priorWaitMillis(budgetMillis, maxBudgetMillis);
  }

  static long priorWaitMillis(long budgetMillis, long maxBudgetMillis) {
    long missingMillis = maxBudgetMillis - budgetMillis;
    return missingMillis > RETRY_BUDGET_GAP_SHARE * maxBudgetMillis
        ? missingMillis - (long) (TYPICAL_BUDGET_VARIATION_SHARE * maxBudgetMillis)
        : 0;
  }

  private static Optional<Customer> customer(Catalog catalog, Route route, CallerRequest request) {
    Optional<Customer> customer = request.customerKey().flatMap(catalog::customerWithKey);
    if (customer.isEmpty() && !route.isPublic() && !catalog.customerNames().isEmpty()) {
      throw new RequestException(
          ErrorKind.UNAUTHENTICATED, "unknown customer key in version " + catalog.version());
    }
    return customer;
  }

  private void reject(HttpExchange exchange, String requestId, RequestException failure) {
    environment.metrics().failed(failure.kind()).inc();
    LOG.infof(
        "request.refused id=%s kind=%s detail=\"%s\" retryAfterMillis=%d",
        requestId, failure.kind(), failure.getMessage(), failure.retryAfterMillis());
    environment.callers().errorResponse(requestId, failure).sendTo(exchange);
  }

  private int waiting() {
    int total = 0;
    for (ServiceQueue queue : queues.values()) {
      total += queue.waiting();
    }
    return total;
  }
}
