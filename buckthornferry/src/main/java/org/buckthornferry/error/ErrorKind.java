package org.buckthornferry.error;

import static org.buckthornferry.error.ErrorKind.NotRun.ALWAYS;
import static org.buckthornferry.error.ErrorKind.NotRun.NEVER;

/** The kinds of request failure, with the response that each one gives to the caller. */
public enum ErrorKind {
  BAD_REQUEST(400, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The request is malformed."),
  UNAUTHENTICATED(401, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The customer key is missing or unknown."),
  FORBIDDEN(403, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The customer may not use this route or tier."),
  UNKNOWN_ROUTE(404, RetryAdvice.DO_NOT_RETRY, ALWAYS, "No service declares this path."),
  BODY_TOO_LARGE(413, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The body exceeds the size limit."),
  UNKNOWN_EXPECTATION(
      417, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The request expects something unknown."),
  RATE_LIMITED(429, RetryAdvice.AFTER_DELAY, ALWAYS, "The customer exceeds its rate."),
  SHED(503, RetryAdvice.AFTER_DELAY, ALWAYS, "The service sheds this tier."),
  DEADLINE_UNREACHABLE(
      503, RetryAdvice.AFTER_DELAY, ALWAYS, "The request cannot finish before its deadline."),
  QUEUE_FULL(503, RetryAdvice.AFTER_DELAY, ALWAYS, "The waiting queue is full."),
  NOT_READY(503, RetryAdvice.AFTER_DELAY, ALWAYS, "The instance has no configuration yet."),
  SHUTTING_DOWN(503, RetryAdvice.AT_ONCE, ALWAYS, "The instance is shutting down."),
  QUARANTINED(
      422, RetryAdvice.DO_NOT_RETRY, ALWAYS, "Requests with this content crashed endpoints."),
  IDEMPOTENCY_KEY_EXPIRED(
      409, RetryAdvice.DO_NOT_RETRY, NEVER, "The idempotency key is older than the claim window."),
  IDEMPOTENCY_KEY_REUSED(
      422, RetryAdvice.DO_NOT_RETRY, ALWAYS, "The idempotency key was used with other content."),
  STORE_UNAVAILABLE(
      503, RetryAdvice.AFTER_DELAY, ALWAYS, "The claim could not be stored before dispatch."),
  NO_ENDPOINT(503, RetryAdvice.AFTER_DELAY, ALWAYS, "No endpoint can take the request."),
  ENDPOINT_REFUSED(
      503, RetryAdvice.AFTER_DELAY, ALWAYS, "The endpoint refused the request without running it."),
  ENDPOINT_FAILED(
      502, RetryAdvice.SAME_KEY, NEVER, "The endpoint failed while it ran the request."),
  TRUNCATED_ANSWER(502, RetryAdvice.SAME_KEY, NEVER, "The answer ended early or was mismatched."),
  DEADLINE_EXCEEDED(504, RetryAdvice.SAME_KEY, NEVER, "The deadline passed after dispatch."),
  OUTCOME_UNKNOWN(
      409, RetryAdvice.DO_NOT_RETRY, NEVER, "Whether the request ran cannot be determined."),
  CANCELLED(499, RetryAdvice.DO_NOT_RETRY, NEVER, "The caller closed the connection."),
  INTERNAL(500, RetryAdvice.SAME_KEY, NEVER, "The instance failed unexpectedly.");

  /** What the caller should do next. */
  public enum RetryAdvice {
    /** A retry gets the same response. */
    DO_NOT_RETRY,
    /** A retry may succeed after the delay in {@code Retry-After}. */
    AFTER_DELAY,
    /** A retry at another instance may succeed immediately. */
    AT_ONCE,
    /** A retry is safe only with the same {@code Idempotency-Key}. */
    SAME_KEY
  }

  /** Whether the response guarantees that the request did not run. */
  public enum NotRun {
    /** No byte of the request reached an endpoint, or the endpoint refused to run it. */
    ALWAYS,
    /** The request may have run. */
    NEVER
  }

  private final int httpStatus;
  private final RetryAdvice retryAdvice;
  private final NotRun notRun;
  private final String title;

  ErrorKind(int httpStatus, RetryAdvice retryAdvice, NotRun notRun, String title) {
    this.httpStatus = httpStatus;
    this.retryAdvice = retryAdvice;
    this.notRun = notRun;
    this.title = title;
  }

  /** Returns the HTTP status code of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns what the caller should do next. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns whether the response guarantees that the request did not run. */
  public boolean notRun() {
    return notRun == ALWAYS;
  }

  /** Returns the title of the problem document: one sentence that describes the kind. */
  public String title() {
    return title;
  }
}
