package org.buckthornferry.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.peer.RolloutReport.RouteCounters;

/** What one instance knows about the move of one service. */
final class ServiceMove {
  /** The requests of an unproven version that may run at once over the fleet. */
  static final int BASE_MAX_RUNNING = 8;

  /**
   * The most requests of the new version that run at once before the move is done. All of them fail
   * when a fault begins under load, and about 8 more are dispatched before every instance has
   * stopped; together they stay within 20 failed requests.
   */
  static final int MAX_RUNNING = 12;

  /** In a large fleet this part of the new version's declared concurrency may run at once. */
  private static final int CAPACITY_PER_RUNNING = 200;

  /** One more request may run at once for this many good requests since the last bad one. */
  private static final int GOOD_PER_EXTRA_RUNNING = 4;

  /** An instance runs one request at once until this many good ones follow a bad one. */
  private static final int GOOD_AFTER_BAD = 8;

  /** Half of the requests that would not be slow otherwise are slow at a version at fault. */
  private static final double SLOW_RISE = 0.5;

  private final ServiceDeclaration service;
  private final RolloutDeclaration rollout;
  private final VersionShare share = new VersionShare();
  private final LatencyBaseline baseline = new LatencyBaseline();
  private final Map<String, RouteCounts> oldCounts = new HashMap<>();
  private final Map<String, RouteCounts> newCounts = new HashMap<>();
  private final MoveEvidence evidence;
  private final int maxRunning;
  private RolloutState state;
  private int fleetMaxRunning = BASE_MAX_RUNNING;
  private long stepStartedMillis;
  private boolean provisional;
  private boolean reportDue;
  private long localGoodSinceBad = GOOD_AFTER_BAD;

  ServiceMove(ServiceDeclaration service) {
    this.service = service;
    this.rollout = service.rollout().orElseThrow();
    this.evidence = new MoveEvidence(new FaultTerms(rollout.maxFailureShare(), SLOW_RISE));
    this.maxRunning = Math.max(MAX_RUNNING, newCapacity(service) / CAPACITY_PER_RUNNING);
    this.state = RolloutState.pending(service);
  }

  ServiceDeclaration service() {
    return service;
  }

  RolloutDeclaration rollout() {
    return rollout;
  }

  RolloutState state() {
    return state;
  }

  MoveEvidence evidence() {
    return evidence;
  }

  VersionShare share() {
    return share;
  }

  /** Enters a state that supersedes the current one; returns whether it does. */
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
      share.stepTo(currentShare());
    }
    return true;
  }

  /** Ends the move by the deadline rule without the leader; the leader's decision replaces it. */
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

  /** Returns the share of requests that the new version gets now. */
  double currentShare() {
    return switch (state.phase()) {
      case PENDING, TAKEN_BACK -> 0;
      case STEPPING -> rollout.shareSteps().get(state.step());
      case DONE -> 1;
    };
  }

  boolean isLastStep() {
    return state.step() == rollout.shareSteps().size() - 1;
  }

  void record(CompletedRequest request) {
    boolean isNew = request.version().equals(rollout.toVersion());
    boolean slow =
        !request.failed()
            && baseline.isSlow(request.route(), request.latencyNanos(), rollout.maxLatencyRatio());
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
      localGoodSinceBad = 0;
    } else if (isNew) {
      localGoodSinceBad++;
    }
  }

  /** Returns whether a bad request has ended since the last call, so that the leader must know. */
  boolean takeReportDue() {
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

  void limitRunning(int newFleetMaxRunning) {
    fleetMaxRunning = newFleetMaxRunning;
  }

  /**
   * Returns the bound of concurrent requests that the evidence has earned. It falls back to the
   * base with every bad request, since a fault that begins under load would fail all that run at
   * once.
   */
  int earnedMaxRunning() {
    long extra = evidence.goodSinceBad() / GOOD_PER_EXTRA_RUNNING;
    return (int) Math.min(maxRunning, BASE_MAX_RUNNING + extra);
  }

  /** Returns whether this instance has seen a bad request that few good ones have followed. */
  boolean isCautious() {
    return localGoodSinceBad < GOOD_AFTER_BAD;
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
