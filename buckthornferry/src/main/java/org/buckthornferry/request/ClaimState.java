package org.buckthornferry.request;

import java.util.EnumSet;
import java.util.Set;

/** What the owner of a claim knows about the run of the request. */
public enum ClaimState {
  /** A token may dispatch the request. */
  CLAIMED(0),
  /** The token sends or has sent the request to an endpoint. */
  DISPATCHED(1),
  /** The endpoint's whole response was received. */
  ANSWERED(2),
  /** The request certainly did not run under the last token. */
  RELEASED(3),
  /** The request ran or may have run, and its response is not known. */
  UNKNOWN(4);

  private static final ClaimState[] BY_CODE = {CLAIMED, DISPATCHED, ANSWERED, RELEASED, UNKNOWN};

  private final int code;

  ClaimState(int code) {
    this.code = code;
  }

  /** Returns the number that stands for the state in messages and journals. */
  int code() {
    return code;
  }

  /**
   * Returns the state with the given number.
   *
   * @throws IllegalArgumentException when there is none
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
   * <p>A non-idempotent claim that is answered or unknown is never claimed again. An unknown one
   * can still be answered or released, because only the token that holds it knows what happened. An
   * idempotent claim that is unknown can be claimed anew, and one whose response was too large to
   * keep can be resumed at its endpoint.
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
