package org.buckthornferry.endpoint;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.util.Checks;

/**
 * The health of one endpoint: its state and the concurrency that the state allows. An endpoint that
 * returns from a failure, a drain or an ejection always passes through its cold budget.
 */
public final class EndpointHealth {
  /** Failures in a row after which the endpoint counts as failed. */
  static final int FAILURES_IN_A_ROW = 3;

  /** A speed below the median divided by this number means a cold start. */
  static final double COLD_SPEED_RATIO = 3;

  /** Slow samples in a row that mean a cold start; one slow sample may be chance. */
  static final int SLOW_SAMPLES = 3;

  /** An instance that saw a failure waits this long for the owner's decision after the delay. */
  private static final long ADOPT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int SPEED_WINDOW = 31;
  private static final int SPEED_MIN_SAMPLES = 8;

  private final ColdBudget budget;
  private final FlapDamper failureDamper = new FlapDamper();
  private final FlapDamper ejectionDamper = new FlapDamper();
  private final MedianWindow decodeNanosPerToken = new MedianWindow(SPEED_WINDOW);
  private EndpointState state = EndpointState.COLD;
  private boolean drained;
  private boolean leaving;
  private boolean reported;
  private boolean known;
  private long returnNanos;
  private long startId;
  private long completedTotal;
  private long lastReportNanos;
  private int failuresInRow;
  private int slowInRow;

  /** Creates the health of an endpoint about which nothing is known yet. */
  public EndpointHealth(EndpointDeclaration declaration) {
    Checks.notNull(declaration, "declaration");
    budget = new ColdBudget(declaration.coldConcurrent(), declaration.maxConcurrent());
  }

  /** Returns the state and the budget that it allows. */
  public EndpointStatus status() {
    EndpointState current = drained ? EndpointState.DRAINED : state;
    return new EndpointStatus(current, current.acceptsNewRequests() ? budget.budget() : 0);
  }

  /** Handles a load report; reports that arrive out of order are ignored. */
  public void onReport(LoadReport report, long nowNanos) {
    if (reported && report.observedNanos() - lastReportNanos <= 0) {
      return;
    }
    lastReportNanos = report.observedNanos();
    if (!reported || report.startId() != startId) {
      onNewProcess(report);
    }
    updateLeaving(report.leaving());
    boolean returned = returnWhenDue(report.observedNanos(), nowNanos);
    long successes = report.completedTotal() - completedTotal;
    completedTotal = report.completedTotal();
    if (returned || !state.acceptsNewRequests()) {
      // Successes from before a return prove nothing about the endpoint now.
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
    boolean known = decodeNanosPerToken.count() >= SPEED_MIN_SAMPLES;
    boolean slow = known && nanosPerToken > COLD_SPEED_RATIO * median;
    slowInRow = slow ? slowInRow + 1 : 0;
    if (!slow) {
      decodeNanosPerToken.add(nanosPerToken);
    } else if (slowInRow >= SLOW_SAMPLES && state == EndpointState.WARM) {
      restartCold();
    }
  }

  /** Handles requests that succeeded. */
  public void onSuccesses(long count) {
    if (count <= 0 || !state.acceptsNewRequests()) {
      return;
    }
    failuresInRow = 0;
    budget.onSuccesses(count);
    if (state.isLimitedByColdStart()) {
      state = budget.isComplete() ? EndpointState.WARM : warmingState();
    }
  }

  /** Handles a request that failed at the endpoint without ending its process. */
  public void onFailure(long nowNanos) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_IN_A_ROW) {
      onCrash(nowNanos);
    }
  }

  /** Handles the end of the endpoint's process or the loss of its connection. */
  public void onCrash(long nowNanos) {
    if (state == EndpointState.FAILED || state == EndpointState.LEAVING) {
      return;
    }
    failuresInRow = 0;
    known = true;
    state = EndpointState.FAILED;
    returnNanos = failureDamper.onFailure(nowNanos);
  }

  /** Takes the endpoint out because it is slower than others of its kind. */
  public void eject(long nowNanos) {
    if (state.acceptsNewRequests()) {
      state = EndpointState.STRAGGLING;
      returnNanos = ejectionDamper.onFailure(nowNanos) + StragglerDetector.EJECT_NANOS;
    }
  }

  /** Handles a change of the drain of the endpoint's failure domain. */
  public void setDrained(boolean newDrained) {
    if (drained && !newDrained && state.acceptsNewRequests()) {
      restartCold();
    }
    drained = newDrained;
  }

  /**
   * Handles the passing of time.
   *
   * @param owned whether this instance reads the endpoint's load reports
   */
  public void onTick(boolean owned, long nowNanos) {
    boolean due = returnNanos - nowNanos <= 0;
    boolean longDue = returnNanos + ADOPT_NANOS - nowNanos <= 0;
    if (state == EndpointState.STRAGGLING && (owned ? due : longDue)) {
      restartCold();
    }
    if (state == EndpointState.FAILED && !owned && longDue) {
      restartCold();
    }
  }

  /** Returns whether the state changes by the passing of time. */
  boolean isTimed() {
    return state == EndpointState.STRAGGLING || state == EndpointState.FAILED;
  }

  /** Adopts what the owner of the endpoint decided. */
  public void adopt(EndpointStatus status) {
    if (status.state() == EndpointState.DRAINED) {
      return;
    }
    known = true;
    state = status.state();
    if (state.acceptsNewRequests()) {
      budget.adopt(status.budgetConcurrent());
    }
  }

  /** Falls back to the first cold budget, on the observation of another instance. */
  void restartCold() {
    known = true;
    state = EndpointState.COLD;
    slowInRow = 0;
    budget.restart();
  }

  private EndpointState warmingState() {
    return budget.isAtStart() ? EndpointState.COLD : EndpointState.WARMING;
  }

  private void onNewProcess(LoadReport report) {
    startId = report.startId();
    completedTotal = report.completedTotal();
    boolean first = !reported;
    reported = true;
    if (!first) {
      leaving = false;
      decodeNanosPerToken.clear();
      if (state.acceptsNewRequests() || state == EndpointState.LEAVING) {
        restartCold();
      }
    } else if (!known && !report.cold() && report.completedTotal() > 0) {
      // The endpoint served before this instance knew it, so its own word is enough.
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

  /** A failed endpoint returns with a report that was taken after its delay. */
  private boolean returnWhenDue(long observedNanos, long nowNanos) {
    boolean due = returnNanos - nowNanos <= 0 && returnNanos - observedNanos <= 0;
    if (state != EndpointState.FAILED || !due) {
      return false;
    }
    restartCold();
    return true;
  }
}
