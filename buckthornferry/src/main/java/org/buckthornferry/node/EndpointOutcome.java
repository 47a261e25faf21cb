package org.buckthornferry.node;

import java.util.Optional;
import org.buckthornferry.error.ErrorKind;

/** The outcome of a dispatch to an endpoint. */
enum EndpointOutcome {
  /** The whole response was received. */
  ANSWERED(false, null),
  /** The endpoint refused the request, or no byte of it was sent. */
  NOT_RUN(true, ErrorKind.ENDPOINT_REFUSED),
  /** The endpoint failed after the request may have reached it. */
  FAILED(false, ErrorKind.ENDPOINT_FAILED),
  /** The response ended early or belongs to another request. */
  TRUNCATED(false, ErrorKind.TRUNCATED_ANSWER),
  /** The deadline passed after dispatch. */
  TIMED_OUT(false, ErrorKind.DEADLINE_EXCEEDED),
  /** The caller closed its connection. */
  CANCELLED(false, ErrorKind.CANCELLED);

  private final boolean notRun;

  @SuppressWarnings("ImmutableEnumChecker") // Optional of an enum constant is immutable.
  private final Optional<ErrorKind> errorKind;

  EndpointOutcome(boolean notRun, ErrorKind errorKind) {
    this.notRun = notRun;
    this.errorKind = Optional.ofNullable(errorKind);
  }

  boolean notRun() {
    return notRun;
  }

  /** Returns the error kind that is reported to the caller; empty for success. */
  Optional<ErrorKind> errorKind() {
    return errorKind;
  }
}
