package org.buckthornferry.rollout;

import java.util.concurrent.TimeUnit;

/** Decides when a rollout proceeds to its next step and how it ends. Pure functions. */
final class StepPolicy {
  /** The minimum duration of a step, so that faults which take time to appear are detected. */
  static final long MIN_STEP_MILLIS = TimeUnit.SECONDS.toMillis(2);

  /** No step starts this close to the deadline, so that every instance receives the last state. */
  static final long DEADLINE_FREEZE_MILLIS = TimeUnit.SECONDS.toMillis(5);

  /** The minimum number of requests for each route with traffic when little time is left. */
  static final long MIN_REQUESTS_SHORT_OF_TIME = 3;

  /** With less than this time for each remaining step, the lower number of requests suffices. */
  private static final long MIN_AMPLE_STEP_MILLIS = TimeUnit.SECONDS.toMillis(10);

  /** The next action of the leader. */
  enum Decision {
    WAIT,
    MARK_PASSED,
    STEP_UP,
    FINISH,
    TAKE_BACK
  }

  private StepPolicy() {}

  static Decision decide(ServiceRollout rollout, long nowMillis) {
    RolloutState state = rollout.state();
    if (state.phase().isFinal()) {
      return Decision.WAIT;
    }
    if (rollout.evidence().fault().isPresent()) {
      return Decision.TAKE_BACK;
    }
    long leftMillis = rollout.declaration().moveBy().toEpochMilli() - nowMillis;
    if (leftMillis <= 0) {
      return passesAtDeadline(state, rollout) ? Decision.FINISH : Decision.TAKE_BACK;
    }
    if (state.phase() == RolloutPhase.PENDING) {
      return leftMillis > DEADLINE_FREEZE_MILLIS ? Decision.STEP_UP : Decision.WAIT;
    }
    if (!passes(rollout, nowMillis, leftMillis)) {
      return Decision.WAIT;
    }
    if (rollout.isLastStep()) {
      return state.stepPassed() ? Decision.WAIT : Decision.MARK_PASSED;
    }
    return leftMillis > DEADLINE_FREEZE_MILLIS ? Decision.STEP_UP : Decision.WAIT;
  }

  /** Returns whether the rollout is at its last step with sufficient evidence. */
  static boolean passesAtDeadline(RolloutState state, ServiceRollout rollout) {
    return state.phase() == RolloutPhase.STEPPING && rollout.isLastStep() && state.stepPassed();
  }

  private static boolean passes(ServiceRollout rollout, long nowMillis, long leftMillis) {
    if (nowMillis - rollout.stepStartedMillis() < MIN_STEP_MILLIS) {
      return false;
    }
    int stepsLeft = rollout.declaration().shareSteps().size() - rollout.state().step();
    long usableMillis = leftMillis - DEADLINE_FREEZE_MILLIS;
    boolean shortOfTime = usableMillis < stepsLeft * MIN_AMPLE_STEP_MILLIS;
    long minRequests =
        shortOfTime ? MIN_REQUESTS_SHORT_OF_TIME : RouteEvidence.MIN_REQUESTS_PER_STEP;
    return rollout.evidence().stepPasses(minRequests);
  }
}
