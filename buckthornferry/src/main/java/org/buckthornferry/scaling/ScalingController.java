package org.buckthornferry.scaling;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.duty.DutyCalls;
import org.buckthornferry.duty.DutyHolder;
import org.buckthornferry.duty.DutyHolders;
import org.buckthornferry.duty.DutyPlatform;
import org.buckthornferry.duty.DutyReply;
import org.buckthornferry.duty.DutySubject;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Orders endpoints of the services with scaling terms. Every instance stands for election as the
 * holder of each pair of such a service and a failure domain, and reports its demand once a second
 * to the holders. A holder decides for all failure domains of the service, and orders in those that
 * it holds. Used by one thread.
 */
public final class ScalingController {
  private static final Logger LOG = Logger.getLogger(ScalingController.class);

  private static final String DUTY = "autoscale";

  private static final long PERIOD_MILLIS = 1_000;

  /** The timeout of a report, in milliseconds; shorter than the period, so that one is pending. */
  private static final long REPORT_TIMEOUT_MILLIS = 800;

  private final DutyHolders holders;
  private final DutyPlatform platform;
  private final DutyCalls calls;
  private final DemandCounter counter;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final String ownDomain;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Counter orders;
  private final DemandReports reports = new DemandReports();
  private final Map<String, ScaledService> services = new TreeMap<>();
  private final Set<String> pendingReports = new HashSet<>();
  private Scheduler.Task task = Scheduler.Task.NONE;

  /** A service with scaling terms. */
  private static final class ScaledService {
    private final Map<String, Subject> subjects = new TreeMap<>();
    private Optional<ScalingDecision> decision = Optional.empty();

    /** The mean number of slots of an endpoint; kept while there is none. */
    private double slots = 1;
  }

  /** A service in one failure domain. */
  private static final class Subject {
    private final DutySubject name;
    private DutyHolder holder;
    private Optional<ScalingOrder> order = Optional.empty();
    private Optional<Integer> known = Optional.empty();

    private Subject(DutySubject name) {
      this.name = name;
    }
  }

  /** Creates a controller that does not run yet. */
  public ScalingController(
      DutyHolders holders,
      DutyPlatform platform,
      DemandCounter counter,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      String ownDomain,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry,
      RandomGenerator random) {
    this.holders = holders;
    this.platform = platform;
    this.counter = counter;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.ownDomain = ownDomain;
    this.scheduler = scheduler;
    this.clock = clock;
    this.calls = new DutyCalls(DUTY, registry, scheduler, clock, random);
    this.orders = registry.counter("scaling.orders");
    registry.gauge("scaling.desired", () -> (Gauge<Integer>) this::desired);
  }

  /** Starts to stand for election, to report demand and, as a holder, to order endpoints. */
  public void start() {
    task = scheduler.schedule(this::onPeriod, PERIOD_MILLIS);
  }

  /** Stops ordering at once. Completes when all subjects have been given up. */
  public CompletableFuture<Void> stop() {
    task.cancel();
    List<CompletableFuture<Void>> stopped = new ArrayList<>();
    services.values().forEach(service -> stopped.addAll(stop(service)));
    services.clear();
    return CompletableFuture.allOf(stopped.toArray(new CompletableFuture<?>[0]));
  }

  private List<CompletableFuture<Void>> stop(ScaledService service) {
    List<CompletableFuture<Void>> stopped = new ArrayList<>();
    for (Subject subject : service.subjects.values()) {
      calls.remove(subject.holder);
      stopped.add(subject.holder.stop());
    }
    return stopped;
  }

  /** Records the report of another instance; returns the numbers that this one has ordered. */
  public byte[] answer(byte[] message) throws IOException {
    reports.onReport(DemandMessages.decodeReport(message), clock.nanoTime());
    Map<String, Integer> ordered = new HashMap<>();
    for (ScaledService service : services.values()) {
      for (Subject subject : service.subjects.values()) {
        if (subject.order.isPresent() && subject.known.isPresent()) {
          ordered.put(subject.name.subject(), subject.known.get());
        }
      }
    }
    return DemandMessages.encodeReply(new DemandMessages.Reply(ordered));
  }

  private void onPeriod() {
    // Scheduled first, so that a failure does not end the duty.
    task = scheduler.schedule(this::onPeriod, PERIOD_MILLIS);
    updateSubjects();
    if (services.isEmpty()) {
      return;
    }
    report();
    long nowNanos = clock.nanoTime();
    reports.advance(instanceIds(), nowNanos);
    services.forEach((name, service) -> decide(name, service, nowNanos));
  }

  /**
   * Applies the current configuration. A failure domain that has lost all endpoints keeps its
   * subject, because endpoints are still ordered there.
   */
  private void updateSubjects() {
    Catalog catalog = blackboard.read(Catalog.ENTRY);
    services
        .entrySet()
        .removeIf(
            entry -> {
              boolean isScaled =
                  catalog.service(entry.getKey()).flatMap(Service::scaling).isPresent();
              if (!isScaled) {
                stop(entry.getValue());
              }
              return !isScaled;
            });
    for (Endpoint endpoint : blackboard.read(EndpointList.ENTRY).endpoints()) {
      if (catalog.service(endpoint.serviceName()).flatMap(Service::scaling).isPresent()) {
        services
            .computeIfAbsent(endpoint.serviceName(), name -> new ScaledService())
            .subjects
            .computeIfAbsent(
                endpoint.failureDomain(),
                domain -> startSubject(endpoint.serviceName(), endpoint.failureDomain()));
      }
    }
  }

  private Subject startSubject(String serviceName, String failureDomain) {
    Subject subject = new Subject(new DutySubject(DUTY, subjectName(serviceName, failureDomain)));
    subject.holder =
        holders.create(
            subject.name,
            new DutyHolder.Listener() {
              @Override
              public void onGained(long fencingToken) {
                subject.order = Optional.of(new ScalingOrder(clock.nanoTime()));
              }

              @Override
              public void onLost(long fencingToken) {
                subject.order = Optional.empty();
              }
            });
    calls.add(subject.holder);
    subject.holder.start();
    return subject;
  }

  /** Returns a name without slashes, which store keys do not allow. */
  private static String subjectName(String serviceName, String failureDomain) {
    return encode(serviceName) + "@" + encode(failureDomain);
  }

  private static String encode(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  private Set<String> instanceIds() {
    Set<String> ids = new HashSet<>(blackboard.read(FleetView.ENTRY).addresses().keySet());
    ids.add(selfId);
    return ids;
  }

  private void report() {
    Map<String, DemandCounts> counts = new HashMap<>();
    Set<String> receivers = new TreeSet<>();
    services.forEach(
        (name, service) -> {
          counts.put(name, counter.counts(name));
          service
              .subjects
              .values()
              .forEach(subject -> subject.holder.holderId().ifPresent(receivers::add));
        });
    DemandMessages.Report report = new DemandMessages.Report(selfId, ownDomain, counts);
    reports.onReport(report, clock.nanoTime());
    receivers.remove(selfId);
    byte[] message = DemandMessages.encodeReport(report);
    Map<String, InetSocketAddress> addresses = blackboard.read(FleetView.ENTRY).addresses();
    for (String receiver : receivers) {
      if (addresses.containsKey(receiver) && pendingReports.add(receiver)) {
        Completions.onComplete(
            peers.call(
                addresses.get(receiver), PeerMessageKind.DEMAND, message, REPORT_TIMEOUT_MILLIS),
            (reply, failure) -> onReportEnded(receiver, reply, failure));
      }
    }
  }

  private void onReportEnded(String receiver, byte[] reply, Throwable failure) {
    pendingReports.remove(receiver);
    if (failure != null) {
      LOG.infof("scaling.report_failed holder=%s reason=\"%s\"", receiver, failure.getMessage());
      return;
    }
    try {
      Map<String, Integer> ordered = DemandMessages.decodeReply(reply).ordered();
      for (ScaledService service : services.values()) {
        for (Subject subject : service.subjects.values()) {
          Integer number = ordered.get(subject.name.subject());
          if (number != null && subject.order.isEmpty()) {
            subject.known = Optional.of(number);
          }
        }
      }
    } catch (IOException e) {
      LOG.warnf("scaling.report_failed holder=%s reason=\"%s\"", receiver, e.getMessage());
    }
  }

  private void decide(String serviceName, ScaledService service, long nowNanos) {
    boolean isHolder =
        service.subjects.values().stream().anyMatch(subject -> subject.order.isPresent());
    Optional<Service.Scaling> terms =
        blackboard.read(Catalog.ENTRY).service(serviceName).flatMap(Service::scaling);
    EndpointList list = blackboard.read(EndpointList.ENTRY);
    if (!isHolder || terms.isEmpty() || !list.isKnown()) {
      service.decision = Optional.empty();
      return;
    }
    if (service.decision.isEmpty()) {
      service.decision = Optional.of(new ScalingDecision(terms.get(), ScalingPolicy.DEFAULT));
      service.subjects.forEach(
          (domain, subject) ->
              subject.known.ifPresent(
                  number -> service.decision.get().setOrdered(domain, number, nowNanos)));
    }
    ScalingDecision decision = service.decision.get();
    decision.setTerms(terms.get());
    List<Endpoint> endpoints =
        list.endpoints().stream().filter(e -> e.serviceName().equals(serviceName)).toList();
    service.slots = endpoints.stream().mapToInt(Endpoint::capacity).average().orElse(service.slots);
    Map<String, DomainLoad> loads = new HashMap<>();
    service.subjects.forEach(
        (domain, subject) -> {
          if (subject.order.isEmpty()) {
            subject.known.ifPresent(number -> decision.setOrdered(domain, number, nowNanos));
          }
          int serving =
              (int) endpoints.stream().filter(e -> e.failureDomain().equals(domain)).count();
          loads.put(domain, new DomainLoad(reports.demand(serviceName, domain), serving));
        });
    Map<String, Integer> desired = decision.decide(loads, service.slots, nowNanos);
    if (!decision.isReady()) {
      return;
    }
    service.subjects.forEach(
        (domain, subject) -> {
          if (subject.order.isPresent()) {
            subject.known = Optional.of(desired.get(domain));
            Order order =
                new Order(
                    serviceName,
                    domain,
                    desired.get(domain),
                    loads.get(domain).serving(),
                    decision.demandSlots(domain));
            orderIfDue(subject, order, terms.get().startupMillis(), nowNanos);
          }
        });
  }

  /** What is ordered, and why. */
  private record Order(
      String serviceName, String failureDomain, int desired, int serving, double demandSlots) {}

  private void orderIfDue(Subject subject, Order order, long startupMillis, long nowNanos) {
    ScalingOrder state = subject.order.orElseThrow();
    if (!state.isDue(order.desired, order.serving, startupMillis, nowNanos)) {
      return;
    }
    if (subject.holder.fencingToken().isEmpty()) {
      return;
    }
    state.onCalled(order.desired, nowNanos);
    orders.inc();
    LOG.infof(
        "scaling.ordered service=%s domain=%s desired=%d serving=%d demandSlots=%s",
        order.serviceName,
        order.failureDomain,
        order.desired,
        order.serving,
        String.format(Locale.ROOT, "%.1f", order.demandSlots));
    Completions.onComplete(
        calls.callOnce(
            subject.holder,
            "desired=" + order.desired,
            (token, maySend) ->
                platform.orderEndpoints(
                    token, maySend, order.serviceName, order.failureDomain, order.desired)),
        // A repetition of an invalid order has the same result; a changed one is sent anyway.
        (reply, failure) ->
            state.onEnded(reply == DutyReply.ACCEPTED || reply == DutyReply.INVALID));
  }

  private int desired() {
    return services.values().stream()
        .flatMap(service -> service.subjects.values().stream())
        .filter(subject -> subject.order.isPresent())
        .mapToInt(subject -> subject.known.orElse(0))
        .sum();
  }
}
