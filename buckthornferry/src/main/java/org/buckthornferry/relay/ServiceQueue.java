package org.buckthornferry.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Dispatcher;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.RetryBudget;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.OperatingBounds;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** Runs the dispatcher of one service whenever something has changed or is due. */
final class ServiceQueue {
  private static final Logger LOG = Logger.getLogger(ServiceQueue.class);

  /** A timer fires late by about this much at most, so an earlier one would find nothing due. */
  private static final long TIMER_MILLIS = 1;

  private final RelayEnvironment environment;
  private final String serviceName;
  private final Dispatcher dispatcher;
  private final RetryBudget retries;
  private Scheduler.Task wakeUp = Scheduler.Task.NONE;
  private long wakeUpNanos = Dispatcher.NEVER;
  private boolean wasCutOff;
  private boolean isDispatching;
  private boolean isDirty;

  ServiceQueue(
      Service service,
      String selfId,
      String ownDomain,
      RelayEnvironment environment,
      RandomGenerator random) {
    this.environment = environment;
    this.serviceName = service.name();
    this.dispatcher =
        new Dispatcher(
            service, selfId, ownDomain, random, environment.moves().policy(service.name()));
    this.retries =
        new RetryBudget(environment.blackboard().read(OperatingBounds.ENTRY).retryWindowMillis());
  }

  void update(Service service, List<Endpoint> endpoints, List<String> instanceIds) {
    dispatcher.setService(service);
    dispatcher.setEndpoints(endpoints);
    dispatcher.setInstances(instanceIds);
    run();
  }

  String serviceName() {
    return serviceName;
  }

  int waiting() {
    return dispatcher.waiting();
  }

  long placed() {
    return dispatcher.placed();
  }

  long placedWithKnownSpeed() {
    return dispatcher.placedWithKnownSpeed();
  }

  boolean hasFreeSlots() {
    return dispatcher.hasFreeSlots(environment.clock().nanoTime());
  }

  int endpointCount() {
    return dispatcher.endpointCount();
  }

  double bestFirstMillis(long promptTokens) {
    return dispatcher.fastestFirstEventMillis(promptTokens);
  }

  List<String> describe() {
    return dispatcher.describeEndpoints();
  }

  /** Counts a request of a caller for the budget of repeats. */
  void onRequest() {
    retries.onRequest(environment.clock().nanoTime());
  }

  /** Takes the right to send a request once more. */
  boolean tryRepeat() {
    OperatingBounds bounds = environment.blackboard().read(OperatingBounds.ENTRY);
    int instances = environment.blackboard().read(FleetView.ENTRY).instanceCount();
    return retries.tryTake(
        bounds.retryRatio(), bounds.retrySlack(), instances, environment.clock().nanoTime());
  }

  /** Takes over what an endpoint says of itself in an answer. */
  void onNotice(Endpoint endpoint, EndpointProtocol.Notice notice) {
    long nowNanos = environment.clock().nanoTime();
    if (notice.isLeaving() && dispatcher.onLeaving(endpoint, nowNanos)) {
      LOG.infof("endpoint.leaving id=%s service=%s", endpoint.id(), serviceName);
    }
    if (notice.pauseMillis() > 0) {
      LOG.infof("endpoint.paused id=%s millis=%d", endpoint.id(), notice.pauseMillis());
      dispatcher.onPause(endpoint, notice.pauseMillis(), nowNanos);
    }
  }

  /** Returns for how long all endpoints want to be left alone, in milliseconds. */
  long allPausedMillis() {
    return dispatcher.allPausedMillis(environment.clock().nanoTime());
  }

  boolean isWelcomeAt(Endpoint endpoint) {
    return dispatcher.acceptsRequests(endpoint, environment.clock().nanoTime());
  }

  void submit(WaitingRequest request) {
    dispatcher.submit(request, environment.clock().nanoTime());
    run();
  }

  void remove(WaitingRequest request) {
    dispatcher.remove(request);
  }

  void onSent(Placement placement) {
    dispatcher.onSent(placement, environment.clock().nanoTime());
  }

  void onFirstEvent(Placement placement, double millis) {
    dispatcher.onFirstEvent(placement, millis);
  }

  void onStreamEnd(Placement placement, int events, double millis) {
    dispatcher.onStreamEnd(placement, events, millis);
  }

  void onEnded(Placement placement, boolean wasReserving, AttemptOutcome outcome) {
    dispatcher.onAttemptEnded(placement, wasReserving, outcome, environment.clock().nanoTime());
    run();
  }

  /** Dispatches until nothing more is due; calls from within a dispatch are taken up by it. */
  private void run() {
    isDirty = true;
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    long nextNanos = Dispatcher.NEVER;
    try {
      while (isDirty) {
        isDirty = false;
        nextNanos = dispatcher.dispatch(environment.clock().nanoTime());
      }
    } finally {
      isDispatching = false;
    }
    logReachability();
    wakeUpAt(nextNanos);
  }

  private void logReachability() {
    if (dispatcher.isPartitioned() == wasCutOff) {
      return;
    }
    wasCutOff = !wasCutOff;
    if (wasCutOff) {
      LOG.warnf("endpoints.unreachable service=%s waiting=%d", serviceName, waiting());
    } else {
      LOG.infof("endpoints.reachable service=%s", serviceName);
    }
  }

  private void wakeUpAt(long nextNanos) {
    if (nextNanos == wakeUpNanos) {
      return;
    }
    wakeUp.cancel();
    wakeUpNanos = nextNanos;
    if (nextNanos == Dispatcher.NEVER) {
      wakeUp = Scheduler.Task.NONE;
      return;
    }
    long delayNanos = Math.max(0, nextNanos - environment.clock().nanoTime());
    wakeUp =
        environment
            .scheduler()
            .schedule(this::onDue, TimeUnit.NANOSECONDS.toMillis(delayNanos) + TIMER_MILLIS);
  }

  private void onDue() {
    wakeUpNanos = Dispatcher.NEVER;
    run();
  }
}
