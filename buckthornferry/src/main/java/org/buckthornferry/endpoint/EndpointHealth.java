package org.buckthornferry.endpoint;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.util.Checks;

/**
 * The health of one endpoint: its state and the concurrency that the state allows. An endpoint that
 * returns from a failure, a drain or an ejection always starts again with its cold-start budget.
 */
public final class EndpointHealth {
  /** Consecutive failures after which the endpoint counts as failed. */
  static final int MAX_CONSECUTIVE_FAILURES = 3;

  /** A time per token above the median times this ratio indicates a cold start. */
  static final double COLD_SPEED_RATIO = 3;

  /** Consecutive slow samples that indicate a cold start; a single one may be noise. */
  static final int MIN_CONSECUTIVE_SLOW_SAMPLES = 3;

  /**
   * After the delay, an instance that is not the owner waits this long for the owner's decision.
   */
  private static final long OWNER_DECISION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int SPEED_WINDOW_SAMPLES = 31;
  private static final int SPEED_MIN_SAMPLES = 8;

  private final ColdStartBudget budget;
  private final FlapDamper failureDamper = new FlapDamper();
  private final FlapDamper ejectionDamper = new FlapDamper();
  private final MedianWindow decodeNanosPerToken = new MedianWindow(SPEED_WINDOW_SAMPLES);
  private EndpointState state = EndpointState.COLD;
  private boolean drained;
  private boolean leaving;
  private boolean hasReport;
  private boolean stateKnown;
  private long earliestReturnNanos;
  private long startId;
  private long completedTotal;
  private long lastReportNanos;
  private int consecutiveFailures;
  private int consecutiveSlowSamples;

  /** Creates the health of an endpoint about which nothing is known yet. */
  public EndpointHealth(EndpointDeclaration declaration) {
    Checks.notNull(declaration, "declaration");
    budget = new ColdStartBudget(declaration.coldConcurrent(), declaration.maxConcurrent());
  }

  /** Returns the state and the budget that it allows. */
  public EndpointStatus status() {
    EndpointState current = drained ? EndpointState.DRAINED : state;
    return new EndpointStatus(current, current.acceptsNewRequests() ? budget.budget() : 0);
  }

  /** Handles a load report; ignores reports that arrive out of order. */
  public void onReport(LoadReport report, long nowNanos) {
    if (hasReport && report.observedNanos() - lastReportNanos <= 0) {
      return;
    }
    lastReportNanos = report.observedNanos();
    if (!hasReport || report.startId() != startId) {
      onNewProcess(report);
    }
    updateLeaving(report.leaving());
    boolean returned = returnWhenDue(report.observedNanos(), nowNanos);
    long successes = report.completedTotal() - completedTotal;
    completedTotal = report.completedTotal();
    if (returned || !state.acceptsNewRequests()) {
      // Successes from before the return say nothing about the current state of the endpoint.
      return;
    }
    if (report.cold()) {
      restartCold();
    } else {
      onSuccesses(successes);
    }
    if (report.decodeNanosPerToken() > 0) {
      onSpeed(report.decodeNanosPerToken());
    }
  }

  /** Handles a measured time per token of one stream, in nanoseconds. */
  public void onSpeed(double nanosPerToken) {
    double median = decodeNanosPerToken.median();
    boolean hasBaseline = decodeNanosPerToken.count() >= SPEED_MIN_SAMPLES;
    boolean slow = hasBaseline && nanosPerToken > COLD_SPEED_RATIO * median;
    consecutiveSlowSamples = slow ? consecutiveSlowSamples + 1 : 0;
    if (!slow) {
      decodeNanosPerToken.add(nanosPerToken);
    } else if (consecutiveSlowSamples >= MIN_CONSECUTIVE_SLOW_SAMPLES
        && state == EndpointState.WARM) {
      restartCold();
    }
  }

  /** Handles requests that succeeded. */
  public void onSuccesses(long count) {
    if (count <= 0 || !state.acceptsNewRequests()) {
      return;
    }
    consecutiveFailures = 0;
    budget.onSuccesses(count);
    if (state.isLimitedByColdStart()) {
      state = budget.isComplete() ? EndpointState.WARM : warmingState();
    }
  }

  /** Handles a request that failed at the endpoint without ending its process. */
  public void onFailure(long nowNanos) {
    consecutiveFailures++;
    if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
      onCrash(nowNanos);
    }
  }

  /** Handles the exit of the endpoint's process or the loss of its connection. */
  public void onCrash(long nowNanos) {
    if (state == EndpointState.FAILED || state == EndpointState.LEAVING) {
      return;
    }
    consecutiveFailures = 0;
    stateKnown = true;
    state = EndpointState.FAILED;
    earliestReturnNanos = failureDamper.onFailure(nowNanos);
  }

  /** Ejects the endpoint because it is slower than the rest of its cohort. */
  public void eject(long nowNanos) {
    if (state.acceptsNewRequests()) {
      state = EndpointState.STRAGGLING;
      earliestReturnNanos =
          ejectionDamper.onFailure(nowNanos) + StragglerDetector.MIN_EJECTION_NANOS;
    }
  }

  /** Handles the start or the end of a drain of the endpoint's failure domain. */
  public void setDrained(boolean newDrained) {
    if (drained && !newDrained && state.acceptsNewRequests()) {
      restartCold();
    }
    drained = newDrained;
  }

  /**
   * Applies state changes that are due.
   *
   * @param owned whether this instance reads the endpoint's load reports
   */
  public void onTick(boolean owned, long nowNanos) {
    boolean due = earliestReturnNanos - nowNanos <= 0;
    boolean overdue = earliestReturnNanos + OWNER_DECISION_TIMEOUT_NANOS - nowNanos <= 0;
    if (state == EndpointState.STRAGGLING && (owned ? due : overdue)) {
      restartCold();
    }
    if (state == EndpointState.FAILED && !owned && overdue) {
      restartCold();
    }
  }

  /** Returns whether the state may change on a tick. */
  boolean changesWithTime() {
    return state == EndpointState.STRAGGLING || state == EndpointState.FAILED;
  }

  /** Applies a status decided by the owner of the endpoint. */
  public void applyOwnerStatus(EndpointStatus status) {
    if (status.state() == EndpointState.DRAINED) {
      return;
    }
    stateKnown = true;
    state = status.state();
    if (state.acceptsNewRequests()) {
      budget.set(status.budgetConcurrent());
    }
  }

  /** Resets the endpoint to its initial cold-start budget. */
  void restartCold() {
    stateKnown = true;
    state = EndpointState.COLD;
    consecutiveSlowSamples = 0;
    budget.restart();
  }

  private EndpointState warmingState() {
    return budget.isInitial() ? EndpointState.COLD : EndpointState.WARMING;
  }

  private void onNewProcess(LoadReport report) {
    startId = report.startId();
    completedTotal = report.completedTotal();
    boolean first = !hasReport;
    hasReport = true;
    if (!first) {
      leaving = false;
      decodeNanosPerToken.clear();
      if (state.acceptsNewRequests() || state == EndpointState.LEAVING) {
        restartCold();
      }
    } else if (!stateKnown && !report.cold() && report.completedTotal() > 0) {
      // The endpoint served requests before this instance knew it, so its report is trusted.
      budget.complete();
      state = EndpointState.WARM;
    }
  }

  private void updateLeaving(boolean newLeaving) {
    if (newLeaving) {
      state = EndpointState.LEAVING;
    } else if (leaving) {
      restartCold();
    }
    leaving = newLeaving;
  }

  /** Returns a failed endpoint to service on a report that was taken after its delay. */
  private boolean returnWhenDue(long observedNanos, long nowNanos) {
    boolean due = earliestReturnNanos - nowNanos <= 0 && earliestReturnNanos - observedNanos <= 0;
    if (state != EndpointState.FAILED || !due) {
      return false;
    }
    restartCold();
    return true;
  }
}
