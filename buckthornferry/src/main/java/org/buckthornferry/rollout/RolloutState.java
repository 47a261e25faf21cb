package org.buckthornferry.rollout;

import java.util.Map;
import org.buckthornferry.config.RolloutDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.util.Checks;

/**
 * The state of one version move.
 *
 * @param moveId names the move; a new declaration of other versions or times is another move
 * @param sequence grows with every change by the leader, for ordering inside a phase
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
  /** The states by service id. */
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

  /** Returns the state in which a declared move begins. */
  static RolloutState pending(ServiceDeclaration service) {
    return new RolloutState(
        service.id(), moveId(service), RolloutPhase.PENDING, 0, 0, false, "declared");
  }

  /** Returns the name of the move that {@code service} declares. */
  static String moveId(ServiceDeclaration service) {
    RolloutDeclaration rollout = service.rollout().orElseThrow();
    return rollout.fromVersion() + ">" + rollout.toVersion() + "@" + rollout.moveBy();
  }

  RolloutState with(RolloutPhase newPhase, int newStep, boolean newPassed, String newReason) {
    return new RolloutState(
        serviceId, moveId, newPhase, sequence + 1, newStep, newPassed, newReason);
  }

  /** Returns whether this state of the same move replaces {@code other}. */
  boolean supersedes(RolloutState other) {
    if (phase.outweighs(other.phase)) {
      return true;
    }
    if (other.phase.isFinal()) {
      return false;
    }
    return sequence > other.sequence;
  }
}
