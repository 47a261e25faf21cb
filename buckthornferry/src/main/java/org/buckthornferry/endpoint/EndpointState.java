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

  private final boolean acceptsNewRequests;
  private final boolean limitedByColdStart;

  EndpointState(boolean acceptsNewRequests, boolean limitedByColdStart) {
    this.acceptsNewRequests = acceptsNewRequests;
    this.limitedByColdStart = limitedByColdStart;
  }

  /** Returns whether new requests may be dispatched to the endpoint. */
  public boolean acceptsNewRequests() {
    return acceptsNewRequests;
  }

  /** Returns whether the budget is below the declared concurrency until successes raise it. */
  public boolean isLimitedByColdStart() {
    return limitedByColdStart;
  }

  /** Returns whether running requests should move to another endpoint when they can. */
  public boolean evacuatesRunningRequests() {
    return this == LEAVING || this == DRAINED;
  }
}
