package org.buckthornferry.endpoint;

/** The state of an endpoint. The names are part of the peer protocol. */
public enum EndpointState {
  /** Starting, or as slow as after a start; limited to its initial cold-start budget. */
  COLD(true, true),
  /** Warming up; the budget doubles after as many successes as the budget. */
  WARMING(true, true),
  /** May run up to its declared concurrency. */
  WARM(true, false),
  /** Ejected because it is much slower than the rest of its cohort. */
  STRAGGLING(false, false),
  /** Does not answer, or fails repeatedly. */
  FAILED(false, false),
  /** Announced its shutdown; its running requests finish or move to other endpoints. */
  LEAVING(false, false),
  /** In a failure domain that operators drain. */
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

  /** Returns whether running requests should move to another endpoint if possible. */
  public boolean evacuatesRunningRequests() {
    return this == LEAVING || this == DRAINED;
  }
}
