package org.buckthornferry.membership;

/** What an instance believes about a member. */
public enum MemberState {
  /** Heard from recently. */
  ALIVE(true, true),
  /** Not heard from for a while; still expected to work. */
  SUSPECT(true, false),
  /** Announced that it is shutting down; takes no new work or ownership. */
  LEAVING(true, false),
  /** Not heard from for so long that its work is taken over. */
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
