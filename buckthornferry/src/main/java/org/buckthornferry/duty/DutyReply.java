package org.buckthornferry.duty;

/** The platform's reply to a call, as far as the caller's next step depends on it. */
public enum DutyReply {
  /** The call was carried out, or repeated an earlier one exactly. */
  ACCEPTED(false, false),
  /** The platform has seen a higher token; nothing was carried out and the token is of no use. */
  OUTDATED_TOKEN(false, true),
  /** The platform's rate limit rejected the call; nothing was carried out. */
  RATE_LIMITED(true, false),
  /** The platform was not reached or declined the call; nothing was carried out. */
  UNAVAILABLE(true, false),
  /** No usable reply arrived; the call may be carried out, possibly seconds later. */
  UNKNOWN(true, false),
  /** This instance may not act; nothing was sent. */
  NOT_SENT(false, false),
  /** The platform rejected the content of the call; a repetition has the same result. */
  INVALID(false, false);

  private final boolean isRetryable;
  private final boolean endsToken;

  DutyReply(boolean isRetryable, boolean endsToken) {
    this.isRetryable = isRetryable;
    this.endsToken = endsToken;
  }

  /** Returns whether the same call may succeed later. */
  public boolean isRetryable() {
    return isRetryable;
  }

  /** Returns whether the token of the call must not be used again. */
  public boolean endsToken() {
    return endsToken;
  }
}
