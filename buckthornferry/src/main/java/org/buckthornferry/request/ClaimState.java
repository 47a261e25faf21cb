package org.buckthornferry.request;

import java.util.EnumSet;
import java.util.Set;

/** The state of a claim: what its owner knows about the execution of the request. */
public enum ClaimState {
  /** The token may dispatch the request. */
  CLAIMED(0),
  /** The token is sending or has sent the request to an endpoint. */
  DISPATCHED(1),
  /** The complete response of the endpoint was received. */
  ANSWERED(2),
  /** The request definitely did not run under the last token. */
  RELEASED(3),
  /** The request ran or may have run, and its response is not known. */
  UNKNOWN(4);

  private static final ClaimState[] BY_CODE = {CLAIMED, DISPATCHED, ANSWERED, RELEASED, UNKNOWN};

  private final int code;

  ClaimState(int code) {
    this.code = code;
  }

  /** Returns the code of the state in messages and journals. */
  int code() {
    return code;
  }

  /**
   * Returns the state with the given code.
   *
   * @throws IllegalArgumentException when no state has the code
   */
  static ClaimState ofCode(int code) {
    if (code < 0 || code >= BY_CODE.length) {
      throw new IllegalArgumentException("unknown claim state " + code);
    }
    return BY_CODE[code];
  }

  /** Returns whether a token may still change the state without a new claim. */
  public boolean isOpen() {
    return this == CLAIMED || this == DISPATCHED;
  }

  /**
   * Returns whether a claim in this state may change to {@code next}.
   *
   * <p>A non-idempotent claim that is answered or unknown is never claimed again. An unknown claim
   * can still be answered or released, because only the token that holds it knows the outcome. An
   * unknown idempotent claim can be claimed again, and an answered one whose response was too large
   * to keep can be resumed at its endpoint.
   */
  public boolean allows(ClaimState next, boolean idempotent) {
    return nextStates(idempotent).contains(next);
  }

  private Set<ClaimState> nextStates(boolean idempotent) {
    return switch (this) {
      case CLAIMED -> EnumSet.of(DISPATCHED, ANSWERED, RELEASED, UNKNOWN);
      case DISPATCHED -> EnumSet.of(ANSWERED, RELEASED, UNKNOWN);
      case ANSWERED -> idempotent ? EnumSet.of(DISPATCHED) : EnumSet.noneOf(ClaimState.class);
      case RELEASED -> EnumSet.of(CLAIMED);
      case UNKNOWN ->
          idempotent ? EnumSet.of(CLAIMED, ANSWERED, RELEASED) : EnumSet.of(ANSWERED, RELEASED);
    };
  }
}
