package org.buckthornferry.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Route;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.fleet.ContentQuarantine;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.RolloutCoordinator;
import org.buckthornferry.fleet.SharedAllowances;
import org.buckthornferry.fleet.SharedAllowances.Decision;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Takes callers' requests and carries them to endpoints. Used by one thread: the event loop of the
 * server, the connector and the scheduler.
 */
public final class Relay implements HttpHandler {
  private static final Logger LOG = Logger.getLogger(Relay.class);

  /** When a caller comes back that met an instance without a configuration, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 500;

  /** When a caller comes back that met an instance that ends; another one takes it at once. */
  private static final long STOPPING_RETRY_MILLIS = 50;

  /**
   * A caller that gives this part less than the longest time of its route has tried before; callers
   * that have not differ by less.
   */
  private static final double RETURNED_SHARE = 0.2;

  /** How much callers that have not tried before give less than the longest time, on average. */
  private static final double USUAL_VARIATION_SHARE = 0.1;

  /**
   * The part of its goal that a request waits at most for its customer's allowance. A wait that is
   * short costs the caller less than to come back, and callers come back once or twice only.
   */
  private static final double ALLOWANCE_WAIT_SHARE = 0.125;

  /** The part of each kind's requests that takes an allowance like the most important ones. */
  private static final double GUARANTEED_ALLOWANCE_SHARE = 0.2;

  /** The shortest pause before an allowance is asked again, in milliseconds. */
  private static final long MIN_ALLOWANCE_WAIT_MILLIS = 5;

  /** The time between two lines about the load, in milliseconds. */
  private static final long LOAD_LOG_MILLIS = 5_000;

  private final RelayEnvironment environment;
  private final Map<String, Long> longestBudgets = new HashMap<>();
  private final String selfId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final SharedAllowances allowances;
  private final LoadLog loadLog;
  private int inProgress;
  private boolean isClosed;

  /** Creates a relay without services. */
  public Relay(
      Blackboard blackboard,
      SharedAllowances allowances,
      ContentQuarantine quarantine,
      RolloutCoordinator moves,
      HttpConnector connector,
      CallerProtocol callers,
      EndpointProtocol endpoints,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry,
      String selfId,
      String ownDomain,
      RandomGenerator random) {
    this.environment =
        new RelayEnvironment(
            blackboard,
            connector,
            quarantine,
            moves,
            callers,
            endpoints,
            scheduler,
            clock,
            new RelayMetrics(registry));
    this.allowances = allowances;
    this.loadLog = new LoadLog(environment.metrics());
    this.selfId = selfId;
    this.ownDomain = ownDomain;
    this.random = random;
    registry.gauge("relay.in_progress", () -> (Gauge<Integer>) () -> inProgress);
    registry.gauge("relay.waiting", () -> (Gauge<Integer>) this::waiting);
  }

  /** Starts to log the load. */
  public void start() {
    environment.scheduler().schedule(this::logLoad, LOAD_LOG_MILLIS);
  }

  private void logLoad() {
    loadLog.write(queues.values(), inProgress);
    environment.scheduler().schedule(this::logLoad, LOAD_LOG_MILLIS);
  }

  /** Takes over what has changed on the blackboard: configuration, endpoints or instances. */
  public void refresh() {
    Catalog catalog = environment.blackboard().read(Catalog.ENTRY);
    EndpointList list = environment.blackboard().read(EndpointList.ENTRY);
    FleetView fleet = environment.blackboard().read(FleetView.ENTRY);
    Map<String, List<Endpoint>> byService = new HashMap<>();
    for (Endpoint endpoint : list.endpoints()) {
      byService.computeIfAbsent(endpoint.serviceName(), name -> new ArrayList<>()).add(endpoint);
    }
    for (Service service : catalog.services()) {
      ServiceQueue queue = queues.get(service.name());
      if (queue == null) {
        queue = new ServiceQueue(service, selfId, ownDomain, environment, random);
        queues.put(service.name(), queue);
      }
      queue.update(service, byService.getOrDefault(service.name(), List.of()), fleet.instanceIds());
    }
    longestBudgets.keySet().retainAll(catalog.routeNames());
    allowances.refresh();
    environment.quarantine().refresh();
  }

  /** Refuses all further requests, which have not run; those in progress go on. */
  public void close() {
    isClosed = true;
  }

  /** Returns the number of requests that have not been answered in full. */
  public int inProgress() {
    return inProgress;
  }

  /** Returns what is known about endpoints by service, for the state dump. */
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
      refuse(exchange, request.map(CallerRequest::requestId).orElse("unknown"), e);
    }
  }

  private void admit(HttpExchange exchange, CallerRequest request, long nowNanos) {
    if (isClosed) {
      throw new RequestException(
          ErrorKind.SHUTTING_DOWN, "the instance is about to end", STOPPING_RETRY_MILLIS);
    }
    Catalog catalog = environment.blackboard().read(Catalog.ENTRY);
    if (catalog.version() == 0) {
      throw new RequestException(
          ErrorKind.NOT_READY, "the configuration has not been read yet", NOT_READY_RETRY_MILLIS);
    }
    Route route =
        catalog
            .route(request.host(), request.path())
            .orElseThrow(
                () ->
                    new RequestException(
                        ErrorKind.UNKNOWN_ROUTE, "no route in version " + catalog.version()));
    Optional<Customer> customer = customer(catalog, route, request);
    refuseQuarantined(request, customer);
    String serviceName = route.chooseService(random.nextDouble());
    ServiceQueue queue = queues.get(serviceName);
    if (queue == null) {
      throw new RequestException(
          ErrorKind.NO_ENDPOINT, "service " + serviceName + " is unknown", NOT_READY_RETRY_MILLIS);
    }
    Arrival arrival = new Arrival(exchange, request, route, queue, customer, nowNanos);
    if (customer.isEmpty()) {
      relay(arrival, sentOnce -> {});
      return;
    }
    inProgress++;
    takeAllowance(arrival, customer.get());
  }

  private void refuseQuarantined(CallerRequest request, Optional<Customer> customer) {
    ContentQuarantine quarantine = environment.quarantine();
    if (quarantine.isEmpty()) {
      return;
    }
    String hash = request.contentHash(customer);
    if (quarantine.verdict(hash) == Verdict.QUARANTINED) {
      throw new RequestException(
          ErrorKind.QUARANTINED, "content " + hash, quarantine.remainingMillis(hash));
    }
  }

  /** A request that has passed the checks of configuration and key. */
  private record Arrival(
      HttpExchange exchange,
      CallerRequest request,
      Route route,
      ServiceQueue queue,
      Optional<Customer> customer,
      long atNanos) {}

  private void takeAllowance(Arrival arrival, Customer customer) {
    double cost = customer.rateLimit().cost(arrival.request.totalTokens());
    Completions.onComplete(
        allowances.take(
            customer,
            new SharedAllowances.AllowanceRequest(
                cost, allowanceRank(arrival.route), arrival.queue.hasFreeSlots())),
        (decision, failure) -> {
          long pauseMillis = Math.max(MIN_ALLOWANCE_WAIT_MILLIS, decision.waitMillis());
          long waitedMillis =
              TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - arrival.atNanos);
          boolean isShort =
              waitedMillis + pauseMillis
                  <= ALLOWANCE_WAIT_SHARE * arrival.route.latencyGoalMillis();
          if (!decision.isGranted() && isShort) {
            LOG.infof(
                "request.allowance_awaited id=%s customer=%s cost=%.0f part=%s owner=%s"
                    + " pauseMillis=%d waitedMillis=%d",
                arrival.request.requestId(),
                customer.name(),
                cost,
                decision.source(),
                decision.ownerId(),
                pauseMillis,
                waitedMillis);
            environment.scheduler().schedule(() -> takeAllowance(arrival, customer), pauseMillis);
            return;
          }
          inProgress--;
          onDecision(arrival, customer, cost, decision);
        });
  }

  /** Every kind has a part of its requests treated as important, so that none starves. */
  private int allowanceRank(Route route) {
    return random.nextDouble() < GUARANTEED_ALLOWANCE_SHARE ? 0 : route.priority();
  }

  private void onDecision(Arrival arrival, Customer customer, double cost, Decision decision) {
    if (!decision.isGranted()) {
      refuse(
          arrival.exchange,
          arrival.request.requestId(),
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
        arrival,
        sentOnce -> {
          if (!sentOnce) {
            allowances.refund(customer, cost, decision);
          }
        });
  }

  private void relay(Arrival arrival, Consumer<Boolean> onEnded) {
    CallerRequest request = arrival.request;
    Route route = arrival.route;
    RelayedRequest relayed =
        new RelayedRequest(
            environment,
            arrival.queue,
            arrival.exchange,
            request,
            route,
            arrival.customer,
            arrival.atNanos,
            waitedMillis(route, request),
            sentOnce -> {
              inProgress--;
              onEnded.accept(sentOnce);
            });
    inProgress++;
    environment.metrics().admitted.inc();
    LOG.infof(
        "request.admitted id=%s route=%s service=%s customer=%s config=%d waiting=%d"
            + " promptTokens=%d sharedPart=%s outputTokens=%d rank=%s budgetMillis=%d returned=%s",
        request.requestId(),
        route.name(),
        arrival.queue.serviceName(),
        arrival.customer.map(Customer::name).orElse("-"),
        environment.blackboard().read(Catalog.ENTRY).version(),
        arrival.queue.waiting(),
        request.promptTokens(),
        request.sharedPrompt().rootId(),
        request.outputTokens(),
        relayed.rank().customerPriority() + "." + relayed.rank().routePriority(),
        request.timeBudgetMillis().orElse(-1),
        relayed.hasReturned());
    relayed.start();
  }

  /**
   * Returns how long the caller has waited for earlier attempts: what is missing from the longest
   * time that callers of the route give.
   */
  private long waitedMillis(Route route, CallerRequest request) {
    if (request.timeBudgetMillis().isEmpty()) {
      return 0;
    }
    long budgetMillis = request.timeBudgetMillis().getAsLong();
    long longestMillis = longestBudgets.merge(route.name(), budgetMillis, Math::max);
    return waitedMillis(budgetMillis, longestMillis);
  }

  static long waitedMillis(long budgetMillis, long longestMillis) {
    long missingMillis = longestMillis - budgetMillis;
    return missingMillis > RETURNED_SHARE * longestMillis
        ? missingMillis - (long) (USUAL_VARIATION_SHARE * longestMillis)
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

  private void refuse(HttpExchange exchange, String requestId, RequestException failure) {
    environment.metrics().failed(failure.kind()).inc();
    LOG.infof(
        "request.refused id=%s kind=%s detail=\"%s\" retryAfterMillis=%d",
        requestId, failure.kind(), failure.getMessage(), failure.retryAfterMillis());
    environment.callers().refusal(requestId, failure).sendTo(exchange);
  }

  private int waiting() {
    int total = 0;
    for (ServiceQueue queue : queues.values()) {
      total += queue.waiting();
    }
    return total;
  }
}
