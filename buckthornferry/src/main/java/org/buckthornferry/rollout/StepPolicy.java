package org.buckthornferry.rollout;

import java.util.concurrent.TimeUnit;

/** Decides when a move goes to its next step and how it ends. Pure functions. */
final class StepPolicy {
  /** The shortest time of a step, so that a fault which takes time has a chance to show. */
  static final long MIN_STEP_MILLIS = TimeUnit.SECONDS.toMillis(2);

  /** No step begins this close to the deadline, so that every instance hears the last state. */
  static final long FREEZE_MILLIS = TimeUnit.SECONDS.toMillis(5);

  /** With little time left, a step passes with this many requests on each route with traffic. */
  static final long FEW_REQUESTS = 3;

  /** With less time than this for each step left, few requests are enough. */
  private static final long UNHURRIED_STEP_MILLIS = TimeUnit.SECONDS.toMillis(10);

  /** What the leader does next. */
  enum Decision {
    WAIT,
    MARK_PASSED,
    STEP_UP,
    FINISH,
    TAKE_BACK
  }

  private StepPolicy() {}

  static Decision decide(ServiceMove move, long nowMillis) {
    RolloutState state = move.state();
    if (state.phase().isFinal()) {
      return Decision.WAIT;
    }
    if (move.evidence().fault().isPresent()) {
      return Decision.TAKE_BACK;
    }
    long leftMillis = move.rollout().moveBy().toEpochMilli() - nowMillis;
    if (leftMillis <= 0) {
      return endsWell(state, move) ? Decision.FINISH : Decision.TAKE_BACK;
    }
    if (state.phase() == RolloutPhase.PENDING) {
      return leftMillis > FREEZE_MILLIS ? Decision.STEP_UP : Decision.WAIT;
    }
    if (!passes(move, nowMillis, leftMillis)) {
      return Decision.WAIT;
    }
    if (move.isLastStep()) {
      return state.stepPassed() ? Decision.WAIT : Decision.MARK_PASSED;
    }
    return leftMillis > FREEZE_MILLIS ? Decision.STEP_UP : Decision.WAIT;
  }

  /** Returns whether the deadline finds the move at its last step with passing evidence. */
  static boolean endsWell(RolloutState state, ServiceMove move) {
    return state.phase() == RolloutPhase.STEPPING && move.isLastStep() && state.stepPassed();
  }

  private static boolean passes(ServiceMove move, long nowMillis, long leftMillis) {
    if (nowMillis - move.stepStartedMillis() < MIN_STEP_MILLIS) {
      return false;
    }
    int stepsLeft = move.rollout().shareSteps().size() - move.state().step();
    long usableMillis = leftMillis - FREEZE_MILLIS;
    boolean hurry = usableMillis < stepsLeft * UNHURRIED_STEP_MILLIS;
    long minRequests = hurry ? FEW_REQUESTS : RouteEvidence.REQUESTS_PER_STEP;
    return move.evidence().stepPasses(minRequests);
  }
}
