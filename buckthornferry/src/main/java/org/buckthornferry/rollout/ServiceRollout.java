package org.buckthornferry.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.peer.RolloutReport.RouteCounters;

/** The state of the rollout of one service, as known to one instance. */
final class ServiceRollout {
  /** The initial limit of concurrent requests of the new version, over all instances. */
  static final int BASE_MAX_RUNNING = 8;

  /**
   * The highest limit of concurrent requests of the new version before the rollout is done. If a
   * fault begins under load, all of them fail, and about 8 more are dispatched before every
   * instance has stopped; together they stay within 20 failed requests.
   */
  static final int MAX_RUNNING = 12;

  /** A large fleet may run one request for this much declared concurrency of the new version. */
  private static final int CAPACITY_PER_RUNNING = 200;

  /** Good requests since the last bad one for each further concurrent request. */
  private static final int GOOD_PER_EXTRA_RUNNING = 4;

  /** Good requests after a bad one until the instance may run more than one at once again. */
  private static final int GOOD_TO_LIFT_THROTTLE = 8;

  /** A faulty version makes half of the requests slow that would not be slow otherwise. */
  private static final double SLOW_SHARE_INCREASE = 0.5;

  private final ServiceDeclaration service;
  private final RolloutDeclaration declaration;
  private final TrafficSplit trafficSplit = new TrafficSplit();
  private final LatencyBaseline baseline = new LatencyBaseline();
  private final Map<String, RouteCounts> oldCounts = new HashMap<>();
  private final Map<String, RouteCounts> newCounts = new HashMap<>();
  private final RolloutEvidence evidence;
  private final int maxRunning;
  private RolloutState state;
  private int fleetMaxRunning = BASE_MAX_RUNNING;
  private long stepStartedMillis;
  private boolean provisional;
  private boolean reportDue;
  private long localConsecutiveGood = GOOD_TO_LIFT_THROTTLE;

  ServiceRollout(ServiceDeclaration service) {
    this.service = service;
    this.declaration = service.rollout().orElseThrow();
    this.evidence =
        new RolloutEvidence(
            new FaultThresholds(declaration.maxFailureShare(), SLOW_SHARE_INCREASE));
    this.maxRunning = Math.max(MAX_RUNNING, newCapacity(service) / CAPACITY_PER_RUNNING);
    this.state = RolloutState.pending(service);
  }

  ServiceDeclaration service() {
    return service;
  }

  RolloutDeclaration declaration() {
    return declaration;
  }

  RolloutState state() {
    return state;
  }

  RolloutEvidence evidence() {
    return evidence;
  }

  TrafficSplit trafficSplit() {
    return trafficSplit;
  }

  /** Enters a state if it supersedes the current one; returns whether it does. */
  boolean enter(RolloutState newState, long nowMillis) {
    boolean replacesProvisional =
        provisional && newState.phase().isFinal() && newState.phase() != state.phase();
    if (!newState.supersedes(state) && !replacesProvisional) {
      return false;
    }
    boolean newStep = newState.step() != state.step() || newState.phase() != state.phase();
    state = newState;
    provisional = false;
    if (newStep) {
      stepStartedMillis = nowMillis;
      evidence.stepStarted();
      trafficSplit.setShare(currentShare());
    }
    return true;
  }

  /** Ends the rollout at its deadline without the leader; the leader's decision replaces this. */
  void endProvisionally(RolloutState finalState, long nowMillis) {
    if (enter(finalState, nowMillis)) {
      provisional = true;
    }
  }

  boolean isProvisional() {
    return provisional;
  }

  long stepStartedMillis() {
    return stepStartedMillis;
  }

  /** Returns the share of requests that currently go to the new version. */
  double currentShare() {
    return switch (state.phase()) {
      case PENDING, TAKEN_BACK -> 0;
      case STEPPING -> declaration.shareSteps().get(state.step());
      case DONE -> 1;
    };
  }

  boolean isLastStep() {
    return state.step() == declaration.shareSteps().size() - 1;
  }

  void record(CompletedRequest request) {
    boolean isNew = request.version().equals(declaration.toVersion());
    boolean slow =
        !request.failed()
            && baseline.isSlow(
                request.route(), request.latencyNanos(), declaration.maxLatencyRatio());
    if (!isNew && !request.failed()) {
      baseline.add(request.route(), request.latencyNanos());
    }
    Map<String, RouteCounts> counts = isNew ? newCounts : oldCounts;
    counts.merge(
        request.route(),
        RouteCounts.ZERO.plusOne(request.failed(), slow),
        (current, one) -> current.plus(one));
    if (isNew && (request.failed() || slow)) {
      reportDue = true;
      localConsecutiveGood = 0;
    } else if (isNew) {
      localConsecutiveGood++;
    }
  }

  /** Returns whether a bad request has ended since the last call and must be reported. */
  boolean consumeReportDue() {
    boolean due = reportDue;
    reportDue = false;
    return due;
  }

  List<RouteCounters> readings() {
    List<RouteCounters> readings = new ArrayList<>();
    oldCounts.forEach((route, counts) -> readings.add(reading(route, false, counts)));
    newCounts.forEach((route, counts) -> readings.add(reading(route, true, counts)));
    return readings;
  }

  int fleetMaxRunning() {
    return fleetMaxRunning;
  }

  void setFleetMaxRunning(int newFleetMaxRunning) {
    fleetMaxRunning = newFleetMaxRunning;
  }

  /**
   * Returns the limit of concurrent requests that the evidence permits. Every bad request resets it
   * to the base, since a fault that begins under load would fail all requests that are running.
   */
  int evidenceMaxRunning() {
    long extra = evidence.consecutiveGood() / GOOD_PER_EXTRA_RUNNING;
    return (int) Math.min(maxRunning, BASE_MAX_RUNNING + extra);
  }

  /** Returns whether too few good requests have followed the last bad one at this instance. */
  boolean isThrottled() {
    return localConsecutiveGood < GOOD_TO_LIFT_THROTTLE;
  }

  private static int newCapacity(ServiceDeclaration service) {
    int capacity = 0;
    for (EndpointDeclaration endpoint : service.endpoints()) {
      if (endpoint.version().equals(service.rollout().orElseThrow().toVersion())) {
        capacity += endpoint.maxConcurrent();
      }
    }
    return capacity;
  }

  private static RouteCounters reading(String route, boolean newVersion, RouteCounts counts) {
    return new RouteCounters(route, newVersion, counts.ended(), counts.failed(), counts.slow());
  }
}
