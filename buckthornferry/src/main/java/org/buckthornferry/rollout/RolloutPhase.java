package org.buckthornferry.rollout;

/** The phase of a rollout. */
public enum RolloutPhase {
  /** Declared; the new version receives no requests yet. */
  PENDING(false),
  /** The new version receives the share of requests of the current step. */
  STEPPING(false),
  /** Only the new version serves; final. */
  DONE(true),
  /** The new version was rolled back and only the old one serves; final. */
  TAKEN_BACK(true);

  private final boolean isFinal;

  RolloutPhase(boolean isFinal) {
    this.isFinal = isFinal;
  }

  /** Returns whether the rollout has ended. */
  public boolean isFinal() {
    return isFinal;
  }

  /**
   * Returns whether a state in this phase replaces one in {@code other} of the same rollout. A
   * rollback takes precedence over every other phase, so that no late message reverses it.
   */
  boolean takesPrecedenceOver(RolloutPhase other) {
    if (this == other || other == TAKEN_BACK) {
      return false;
    }
    return this == TAKEN_BACK || this == DONE;
  }
}
