package org.buckthornferry.relay;

import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.relay.EndpointProtocol.ResponseHead;

/** Classifies a complete endpoint response by what it means for the request. */
enum ResponseKind {
  /** The request was served. */
  SERVED(AttemptOutcome.COMPLETED),
  /** The endpoint states that the request did not run. */
  NOT_RUN(AttemptOutcome.FULL),
  /** Another process listens on the endpoint's address and did not run the request. */
  MISDIRECTED(AttemptOutcome.MISDIRECTED),
  /** The endpoint ran the request and failed; its response may be forwarded. */
  FAILED(AttemptOutcome.FAILED),
  /**
   * The response must not be forwarded: a success is unsigned or contradicts itself, or the status
   * would tell the caller that the request did not run although that is not known.
   */
  UNUSABLE(AttemptOutcome.BROKEN);

  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final AttemptOutcome outcome;

  ResponseKind(AttemptOutcome outcome) {
    this.outcome = outcome;
  }

  AttemptOutcome outcome() {
    return outcome;
  }

  static ResponseKind of(ResponseHead head) {
    if (head.isMisdirected()) {
      return MISDIRECTED;
    }
    if (head.isSuccess()) {
      return head.isSigned() && !head.isNotRun() ? SERVED : UNUSABLE;
    }
    if (head.isNotRun()) {
      return NOT_RUN;
    }
    return impliesNotRun(head.status()) ? UNUSABLE : FAILED;
  }

  private static boolean impliesNotRun(int status) {
    return status == REQUEST_TIMEOUT
        || status == MISDIRECTED_REQUEST
        || status == TOO_MANY_REQUESTS
        || status == UNAVAILABLE;
  }
}
