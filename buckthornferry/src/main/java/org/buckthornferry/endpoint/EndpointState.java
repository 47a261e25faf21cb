package org.buckthornferry.endpoint;

/** The state of an endpoint. The names are part of the peer protocol. */
public enum EndpointState {
  /** Starting, or fallen back to the speed of a start; runs at most its cold budget. */
  COLD(true, true),
  /** Proving itself; the budget doubles after as many successes as the budget. */
  WARMING(true, true),
  /** Runs up to its declared concurrency. */
  WARM(true, false),
  /** Ejected because it is much slower than others of its kind. */
  STRAGGLING(false, false),
  /** Does not answer, or fails repeatedly. */
  FAILED(false, false),
  /** Announced that it stops; its running requests finish or move. */
  LEAVING(false, false),
  /** Its failure domain is drained by operators. */
  DRAINED(false, false);

  private final boolean takesNewWork;
  private final boolean boundByColdBudget;

  EndpointState(boolean takesNewWork, boolean boundByColdBudget) {
    this.takesNewWork = takesNewWork;
    this.boundByColdBudget = boundByColdBudget;
  }

  /** Returns whether new requests may be dispatched to the endpoint. */
  public boolean takesNewWork() {
    return takesNewWork;
  }

  /** Returns whether the budget is below the declared concurrency until successes raise it. */
  public boolean isBoundByColdBudget() {
    return boundByColdBudget;
  }

  /** Returns whether running requests should move to another endpoint when they can. */
  public boolean movesRunningWork() {
    return this == LEAVING || this == DRAINED;
  }
}
