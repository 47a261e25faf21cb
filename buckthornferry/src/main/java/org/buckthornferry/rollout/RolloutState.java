package org.buckthornferry.rollout;

import java.util.Map;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.util.Checks;

/**
 * The state of one rollout.
 *
 * @param moveId identifies the rollout; other versions or another deadline make another rollout
 * @param sequence increases with every change by the leader, to order states of the same phase
 * @param step the index of the current share step
 * @param stepPassed whether the evidence for the current step is sufficient
 * @param reason why the phase was entered, for operators
 */
public record RolloutState(
    String serviceId,
    String moveId,
    RolloutPhase phase,
    long sequence,
    int step,
    boolean stepPassed,
    String reason) {
  /** The blackboard entry of the states, by service id. */
  public static final BlackboardEntry<Map<String, RolloutState>> ENTRY =
      BlackboardEntry.of("rollouts", Map.of());

  /** Checks that the values are present. */
  public RolloutState {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(moveId, "moveId");
    Checks.notNull(phase, "phase");
    Checks.notNegative(step, "step");
    Checks.notNull(reason, "reason");
  }

  /** Returns the initial state of a declared rollout. */
  static RolloutState pending(ServiceDeclaration service) {
    return new RolloutState(
        service.id(), moveId(service), RolloutPhase.PENDING, 0, 0, false, "declared");
  }

  /** Returns the id of the rollout that {@code service} declares. */
  static String moveId(ServiceDeclaration service) {
    RolloutDeclaration rollout = service.rollout().orElseThrow();
    return rollout.fromVersion() + ">" + rollout.toVersion() + "@" + rollout.moveBy();
  }

  RolloutState with(RolloutPhase newPhase, int newStep, boolean newPassed, String newReason) {
    return new RolloutState(
        serviceId, moveId, newPhase, sequence + 1, newStep, newPassed, newReason);
  }

  /** Returns whether this state replaces {@code other} of the same rollout. */
  boolean supersedes(RolloutState other) {
    if (phase.takesPrecedenceOver(other.phase)) {
      return true;
    }
    if (other.phase.isFinal()) {
      return false;
    }
    return sequence > other.sequence;
  }
}
