package org.buckthornferry.relay;

import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.relay.EndpointProtocol.AnswerHead;

/** What a whole answer of an endpoint means for its request. */
enum AnswerVerdict {
  /** The request was served. */
  SERVED(AttemptOutcome.COMPLETED),
  /** The endpoint states that the request did not run. */
  NOT_RUN(AttemptOutcome.FULL),
  /** Another process has the endpoint's address and did not run the request. */
  MISDIRECTED(AttemptOutcome.MISDIRECTED),
  /** The endpoint ran the request and failed; its answer may be passed on. */
  FAILED(AttemptOutcome.FAILED),
  /** The answer cannot be passed on: it is not signed, or would promise what is not known. */
  UNUSABLE(AttemptOutcome.BROKEN);

  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final AttemptOutcome outcome;

  AnswerVerdict(AttemptOutcome outcome) {
    this.outcome = outcome;
  }

  AttemptOutcome outcome() {
    return outcome;
  }

  static AnswerVerdict of(AnswerHead head) {
    if (head.isMisdirected()) {
      return MISDIRECTED;
    }
    if (head.isNotRun()) {
      return NOT_RUN;
    }
    if (head.isSuccess()) {
      return head.isSigned() ? SERVED : UNUSABLE;
    }
    return promisesNotRun(head.status()) ? UNUSABLE : FAILED;
  }

  private static boolean promisesNotRun(int status) {
    return status == REQUEST_TIMEOUT
        || status == MISDIRECTED_REQUEST
        || status == TOO_MANY_REQUESTS
        || status == UNAVAILABLE;
  }
}
