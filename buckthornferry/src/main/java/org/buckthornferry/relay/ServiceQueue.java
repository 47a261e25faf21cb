package org.buckthornferry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Dispatcher;
import org.buckthornferry.dispatch.ForwardingPeers;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RetryBudget;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.OperatingBounds;
import org.buckthornferry.fleetqueue.EndedRun;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** Queue of one service: runs its dispatcher on every change and when a timer is due. */
final class ServiceQueue {
  private static final Logger LOG = Logger.getLogger(ServiceQueue.class);

  /**
   * Added to timer delays, which are rounded down, so that no timer fires before something is due;
   * timers are late by about this much at most.
   */
  private static final long TIMER_SLACK_MILLIS = 1;

  /**
   * Time after an answer of an endpoint for which the path to the endpoints is not in doubt, in
   * milliseconds.
   */
  private static final long TRUST_MILLIS = 300;

  /** Number of endpoints that are probed at once when the path to them is in doubt. */
  private static final int PROBES = 2;

  /** Shortest interval between probes while endpoints answer, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** Interval between probes while this instance is cut off, in milliseconds. */
  private static final long CUT_OFF_PROBE_MILLIS = 400;

  private final RelayEnvironment environment;
  private final Runnable onCutOff;
  private final String serviceName;
  private final Dispatcher dispatcher;
  private final FleetScheduling fleet;
  private final RetryBudget retryBudget;
  private Scheduler.Task wakeUpTask = Scheduler.Task.NONE;
  private long wakeUpNanos = Dispatcher.NEVER;
  private final Set<String> pendingProbes = new HashSet<>();
  private long answeredNanos;
  private long probedNanos;
  private boolean isProbeScheduled;
  private boolean wasPartitioned;
  private boolean wasCutOff;
  private boolean isDispatching;
  private boolean needsDispatch;
  private boolean isFleetScheduled;

  /**
   * Creates a queue without endpoints.
   *
   * @param onCutOff called when this instance is found to be cut off from the endpoints
   */
  ServiceQueue(
      Service service,
      String selfId,
      String ownDomain,
      RelayEnvironment environment,
      ForwardingPeers forwarders,
      Runnable onCutOff,
      RandomGenerator random) {
    this.environment = environment;
    this.onCutOff = onCutOff;
    this.answeredNanos = environment.clock().nanoTime();
    this.probedNanos = answeredNanos;
    this.serviceName = service.name();
    this.dispatcher =
        new Dispatcher(
            service,
            selfId,
            ownDomain,
            random,
            environment.rollouts().policy(service.name()),
            environment.limits(),
            forwarders);
    this.isFleetScheduled = service.isFleetScheduled();
    this.fleet =
        new FleetScheduling(
            service.name(),
            environment.queueClients(),
            dispatcher,
            environment.clock(),
            this::runDispatcher);
    this.retryBudget =
        new RetryBudget(environment.blackboard().read(OperatingBounds.ENTRY).retryWindowMillis());
  }

  void update(Service service, List<Endpoint> endpoints, List<String> instanceIds) {
    isFleetScheduled = service.isFleetScheduled();
    dispatcher.setService(service);
    dispatcher.setEndpoints(endpoints);
    dispatcher.setInstances(instanceIds);
    pendingProbes.retainAll(endpoints.stream().map(Endpoint::id).toList());
    runDispatcher();
  }

  String serviceName() {
    return serviceName;
  }

  int waiting() {
    return dispatcher.waiting() + fleet.waiting();
  }

  long placed() {
    return dispatcher.placed();
  }

  long placedWithKnownSpeed() {
    return dispatcher.placedWithKnownSpeed();
  }

  boolean hasFreeSlots() {
    return fleet.waiting() == 0 && dispatcher.hasFreeSlots(environment.clock().nanoTime());
  }

  int endpointCount() {
    return dispatcher.endpointCount();
  }

  double fastestFirstEventMillis(long promptTokens) {
    return dispatcher.fastestFirstEventMillis(promptTokens);
  }

  List<String> describe() {
    return dispatcher.describeEndpoints();
  }

  /** Counts a caller request towards the retry budget. */
  void onRequest() {
    retryBudget.onRequest(environment.clock().nanoTime());
  }

  /** Takes one retry from the retry budget; returns false if the budget is exhausted. */
  boolean tryAcquireRetry() {
    OperatingBounds bounds = environment.blackboard().read(OperatingBounds.ENTRY);
    int instances = environment.blackboard().read(FleetView.ENTRY).instanceCount();
    return retryBudget.tryTake(
        bounds.retryRatio(), bounds.retrySlack(), instances, environment.clock().nanoTime());
  }

  /** Applies what an endpoint states about its availability in a response. */
  void onAvailability(Endpoint endpoint, EndpointProtocol.AvailabilityNotice notice) {
    long nowNanos = environment.clock().nanoTime();
    environment.limits().onNotice(endpoint, notice.rateLimit());
    if (notice.isLeaving() && dispatcher.onLeaving(endpoint, nowNanos)) {
      LOG.infof("endpoint.leaving id=%s service=%s", endpoint.id(), serviceName);
    }
    if (notice.pauseMillis() > 0) {
      LOG.infof("endpoint.paused id=%s millis=%d", endpoint.id(), notice.pauseMillis());
      dispatcher.onPause(endpoint, notice.pauseMillis(), nowNanos);
    }
  }

  /** Returns how long no endpoint accepts a request of a priority, in milliseconds. */
  long noneAcceptsMillis(Priority priority) {
    return dispatcher.noneAcceptsMillis(priority, environment.clock().nanoTime());
  }

  int running(Endpoint endpoint) {
    return dispatcher.running(endpoint);
  }

  boolean isLimited(Endpoint endpoint) {
    return dispatcher.isLimited(endpoint);
  }

  void onHeldBack(Placement placement, long waitMillis) {
    dispatcher.onHeldBack(placement, waitMillis, environment.clock().nanoTime());
  }

  boolean acceptsRequests(Endpoint endpoint) {
    return dispatcher.acceptsRequests(endpoint, environment.clock().nanoTime());
  }

  boolean isCutOff() {
    return dispatcher.isCutOff(environment.clock().nanoTime());
  }

  /** Probes an endpoint that does not respond, unless the path to the endpoints is not in doubt. */
  void doubtReachability(Endpoint endpoint) {
    if (pendingProbes.isEmpty() && isInDoubt()) {
      probe(List.of(endpoint));
    }
  }

  /** Probes some endpoints at once. */
  void probeReachability() {
    if (pendingProbes.isEmpty() && !isCutOff()) {
      probe(dispatcher.reachabilityProbes(PROBES));
    }
  }

  /** Open connections may answer while new ones fail, so that a probe is due now and then. */
  private boolean isInDoubt() {
    long nowNanos = environment.clock().nanoTime();
    return nowNanos - answeredNanos >= TimeUnit.MILLISECONDS.toNanos(TRUST_MILLIS)
        || nowNanos - probedNanos >= TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
  }

  private void probe(List<Endpoint> endpoints) {
    probedNanos = environment.clock().nanoTime();
    for (Endpoint endpoint : endpoints) {
      if (pendingProbes.add(endpoint.id())) {
        environment.connector().probe(endpoint.address());
      }
    }
  }

  /** Records whether a connection to an endpoint could be established. */
  void onConnect(Endpoint endpoint, boolean isConnected) {
    boolean wasProbe = pendingProbes.remove(endpoint.id());
    if (isConnected) {
      dispatcher.onConnected(endpoint.id());
    } else {
      dispatcher.onConnectFailed(endpoint.id(), environment.clock().nanoTime());
      if (pendingProbes.isEmpty() && !isCutOff() && (wasProbe || isInDoubt())) {
        probe(dispatcher.reachabilityProbes(PROBES));
      }
    }
    runDispatcher();
  }

  /** Probes the endpoints while this instance is cut off from them. */
  private void probeWhileCutOff() {
    if (isProbeScheduled || !isCutOff()) {
      return;
    }
    isProbeScheduled = true;
    environment
        .scheduler()
        .schedule(
            () -> {
              isProbeScheduled = false;
              pendingProbes.clear();
              probe(dispatcher.reachabilityProbes(PROBES));
              runDispatcher();
            },
            CUT_OFF_PROBE_MILLIS);
  }

  void submit(WaitingRequest request) {
    if (isFleetScheduled && fleet.submit(request)) {
      return;
    }
    dispatcher.submit(request, environment.clock().nanoTime());
    runDispatcher();
  }

  void remove(WaitingRequest request) {
    dispatcher.remove(request);
    fleet.remove(request);
  }

  void onSent(Placement placement) {
    if (placement.needsReservation() && !placement.isForwarded()) {
      answeredNanos = environment.clock().nanoTime();
    }
    dispatcher.onSent(placement, environment.clock().nanoTime());
  }

  void onFirstEvent(Placement placement, double millis) {
    dispatcher.onFirstEvent(placement, millis);
  }

  void onStreamEnd(Placement placement, int events, double millis) {
    dispatcher.onStreamEnd(placement, events, millis);
  }

  /** Records the end of an attempt that has no answer. */
  void onAttemptEnded(Placement placement, boolean wasReserving, AttemptOutcome outcome) {
    onAttemptEnded(placement, wasReserving, outcome, Optional.empty());
  }

  /**
   * Records the end of an attempt.
   *
   * @param timing the times of the answer, or of the part of a stream that has arrived
   */
  void onAttemptEnded(
      Placement placement,
      boolean wasReserving,
      AttemptOutcome outcome,
      Optional<EndedRun.Timing> timing) {
    if (!placement.isForwarded()) {
      switch (outcome) {
        case COMPLETED, FAILED, FULL, FULL_AND_CLOSING, MISDIRECTED ->
            answeredNanos = environment.clock().nanoTime();
        case SILENT, TIMED_OUT, BROKEN, UNREACHABLE -> doubtReachability(placement.endpoint());
        case HELD_BACK, NOT_FORWARDED, CANCELLED -> {}
        default -> throw new IllegalStateException("unknown outcome " + outcome);
      }
    }
    dispatcher.onAttemptEnded(placement, wasReserving, outcome, environment.clock().nanoTime());
    fleet.onAttemptEnded(placement, outcome, timing);
    runDispatcher();
  }

  /** Dispatches until nothing more is due; a reentrant call makes the running loop go on. */
  private void runDispatcher() {
    needsDispatch = true;
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    long nextNanos = Dispatcher.NEVER;
    try {
      while (needsDispatch) {
        needsDispatch = false;
        nextNanos = dispatcher.dispatch(environment.clock().nanoTime());
      }
    } finally {
      isDispatching = false;
    }
    logReachability();
    scheduleWakeUp(nextNanos);
  }

  private void logReachability() {
    logCutOff();
    if (dispatcher.isPartitioned() == wasPartitioned) {
      return;
    }
    wasPartitioned = !wasPartitioned;
    if (wasPartitioned) {
      LOG.warnf("endpoints.unreachable service=%s waiting=%d", serviceName, waiting());
    } else {
      LOG.infof("endpoints.reachable service=%s", serviceName);
    }
  }

  private void logCutOff() {
    boolean isCutOff = isCutOff();
    if (isCutOff) {
      probeWhileCutOff();
    }
    if (isCutOff == wasCutOff) {
      return;
    }
    wasCutOff = isCutOff;
    if (isCutOff) {
      LOG.warnf("endpoints.cut_off service=%s waiting=%d", serviceName, waiting());
      onCutOff.run();
    } else {
      LOG.infof("endpoints.connected service=%s", serviceName);
    }
  }

  private void scheduleWakeUp(long nextNanos) {
    if (nextNanos == wakeUpNanos) {
      return;
    }
    wakeUpTask.cancel();
    wakeUpNanos = nextNanos;
    if (nextNanos == Dispatcher.NEVER) {
      wakeUpTask = Scheduler.Task.NONE;
      return;
    }
    long delayNanos = Math.max(0, nextNanos - environment.clock().nanoTime());
    wakeUpTask =
        environment
            .scheduler()
            .schedule(
                this::onWakeUp, TimeUnit.NANOSECONDS.toMillis(delayNanos) + TIMER_SLACK_MILLIS);
  }

  private void onWakeUp() {
    wakeUpNanos = Dispatcher.NEVER;
    runDispatcher();
  }
}
