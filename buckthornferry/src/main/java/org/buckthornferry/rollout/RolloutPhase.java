package org.buckthornferry.rollout;

/** How far a version move has come. */
public enum RolloutPhase {
  /** Declared; the new version gets no request yet. */
  PENDING(false),
  /** The new version gets the share of the current step. */
  STEPPING(false),
  /** The new version serves alone; final. */
  DONE(true),
  /** The old version serves alone because the new one was rolled back; final. */
  TAKEN_BACK(true);

  private final boolean isFinal;

  RolloutPhase(boolean isFinal) {
    this.isFinal = isFinal;
  }

  /** Returns whether the move has ended. */
  public boolean isFinal() {
    return isFinal;
  }

  /**
   * Returns whether a state in this phase replaces one in {@code other} of the same move. A fault
   * outweighs everything, so that a rollback is never reversed by a late or old message.
   */
  boolean outweighs(RolloutPhase other) {
    if (this == other || other == TAKEN_BACK) {
      return false;
    }
    return this == TAKEN_BACK || this == DONE;
  }
}
