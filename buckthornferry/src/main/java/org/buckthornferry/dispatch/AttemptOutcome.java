package org.buckthornferry.dispatch;

/** How an attempt to run a request at an endpoint ended, and what it says about the endpoint. */
public enum AttemptOutcome {
  /** The endpoint answered in full. */
  COMPLETED(Evidence.GOOD),
  /** The endpoint answered with an error. */
  FAILED(Evidence.ERROR),
  /** The endpoint had no free slot and did not run the request. */
  FULL(Evidence.BUSY),
  /** The endpoint had no free slot and closes its connections; it may be shutting down. */
  FULL_AND_CLOSING(Evidence.LEAVING),
  /** Another process listens at the address; the request did not run. */
  MISDIRECTED(Evidence.GONE),
  /** No connection could be established; the request was not sent. */
  UNREACHABLE(Evidence.BROKEN),
  /** A reservation was not answered in time; the request was not sent. */
  SILENT(Evidence.BROKEN),
  /** The instance that should forward the request could not; nothing was sent. */
  NOT_FORWARDED(Evidence.NONE),
  /** The connection was lost or the answer was invalid after the request was sent. */
  BROKEN(Evidence.BROKEN),
  /** The endpoint sent nothing for too long. */
  TIMED_OUT(Evidence.BROKEN),
  /** The endpoint's rate limit permits no request now; nothing was sent. */
  HELD_BACK(Evidence.NONE),
  /** The caller disconnected or the deadline passed. */
  CANCELLED(Evidence.NONE);

  /** What an outcome says about an endpoint. */
  public enum Evidence {
    NONE,
    GOOD,
    ERROR,
    BUSY,
    LEAVING,
    BROKEN,
    GONE
  }

  private final Evidence evidence;

  AttemptOutcome(Evidence evidence) {
    this.evidence = evidence;
  }

  /** Returns what the outcome says about the endpoint. */
  public Evidence evidence() {
    return evidence;
  }
}
