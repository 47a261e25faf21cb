package org.buckthornferry.membership;

/** The liveness state of a member in the view of this instance. */
public enum MemberState {
  /** Running, as far as this instance knows. */
  ALIVE(true, true),
  /** Silent past the suspicion timeout, or in an unreachable region; may still run. */
  SUSPECT(true, false),
  /** Announced its shutdown; receives no new work or ownership. */
  LEAVING(true, false),
  /** Silent past the death timeout; other instances take over its work. */
  DEAD(false, false);

  private final boolean running;
  private final boolean eligibleAsOwner;

  MemberState(boolean running, boolean eligibleAsOwner) {
    this.running = running;
    this.eligibleAsOwner = eligibleAsOwner;
  }

  /** Returns whether the process may still be running. */
  public boolean isRunning() {
    return running;
  }

  /** Returns whether the member may become the owner of further shards. */
  public boolean isEligibleAsOwner() {
    return eligibleAsOwner;
  }
}
