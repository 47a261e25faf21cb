package org.buckthornferry.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.peer.RolloutReport.RouteReading;

/** What one instance knows about the move of one service. */
final class ServiceMove {
  /** The requests of an unproven version that may run at once over the fleet. */
  static final int BASE_MAX_RUNNING = 8;

  /** One more request may run at once for this many ended requests without a fault. */
  private static final int ENDED_PER_EXTRA_RUNNING = 4;

  private final ServiceDeclaration service;
  private final RolloutDeclaration rollout;
  private final VersionShare share = new VersionShare();
  private final LatencyBaseline baseline = new LatencyBaseline();
  private final Map<String, RouteCounts> oldCounts = new HashMap<>();
  private final Map<String, RouteCounts> newCounts = new HashMap<>();
  private final MoveEvidence evidence;
  private RolloutState state;
  private int fleetMaxRunning = BASE_MAX_RUNNING;
  private long stepStartedMillis;
  private boolean provisional;
  private boolean reportDue;

  ServiceMove(ServiceDeclaration service) {
    this.service = service;
    this.rollout = service.rollout().orElseThrow();
    this.evidence = new MoveEvidence(rollout);
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
    }
  }

  /** Returns whether a bad request has ended since the last call, so that the leader must know. */
  boolean takeReportDue() {
    boolean due = reportDue;
    reportDue = false;
    return due;
  }

  List<RouteReading> readings() {
    List<RouteReading> readings = new ArrayList<>();
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

  /** Raises the bound of concurrent requests as the evidence grows. */
  int earnedMaxRunning() {
    long extra = evidence.newEnded() / ENDED_PER_EXTRA_RUNNING;
    return (int) Math.min(1 << 20, BASE_MAX_RUNNING + extra);
  }

  private static RouteReading reading(String route, boolean newVersion, RouteCounts counts) {
    return new RouteReading(route, newVersion, counts.ended(), counts.failed(), counts.slow());
  }
}
