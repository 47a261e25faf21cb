package org.buckthornferry.error;

import org.buckthornferry.util.Checks;

/** Signals that a request failed, with the kind of the failure and an optional retry delay. */
public final class RequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final long retryAfterMillis;

  /**
   * Creates an exception without a retry delay.
   *
   * @param detail an explanation for the caller of what happened to this request
   */
  public RequestException(ErrorKind kind, String detail) {
    this(kind, detail, 0);
  }

  /**
   * Creates an exception that tells the caller when to retry.
   *
   * @param detail an explanation for the caller of what happened to this request
   * @param retryAfterMillis the delay before a retry, in milliseconds; 0 when none is known
   */
  public RequestException(ErrorKind kind, String detail, long retryAfterMillis) {
    super(detail);
    this.kind = Checks.notNull(kind, "kind");
    this.retryAfterMillis = Checks.notNegative(retryAfterMillis, "retryAfterMillis");
  }

  /** Returns the kind of the failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns the delay before a retry, in milliseconds; 0 when none is known. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
