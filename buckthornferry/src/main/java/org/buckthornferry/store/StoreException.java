package org.buckthornferry.store;

import java.util.concurrent.CompletionException;
import org.buckthornferry.http.HttpFailure;
import org.buckthornferry.util.Checks;

/** A call to the key-value service failed. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known about a failed call. */
  public enum Kind {
    /** The key has another version than expected; nothing changed. */
    CONFLICT,
    /** The service did not accept the call; nothing changed. */
    UNAVAILABLE,
    /** The answer was lost; the change may or may not have taken effect. */
    OUTCOME_UNKNOWN,
    /** The lease does not exist or has expired. */
    LEASE_EXPIRED,
    /** The service refused the call because of its rate; nothing changed. */
    RATE_LIMITED,
    /** The value is larger than 1 MB; nothing changed. */
    TOO_LARGE,
    /** The changes after the given revision have been forgotten; the keys must be listed again. */
    HISTORY_LOST
  }

  private final Kind kind;

  /** Creates an exception of the given kind. */
  public StoreException(Kind kind, String message) {
    super(message);
    this.kind = Checks.notNull(kind, "kind");
  }

  /** Returns what is known about the failed call. */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns what an HTTP call that got no answer says about the store: a change that may have been
   * sent has an unknown outcome.
   */
  public static StoreException fromHttpFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean bytesSent = !(cause instanceof HttpFailure known) || known.mayHaveReachedServer();
    return new StoreException(
        bytesSent ? Kind.OUTCOME_UNKNOWN : Kind.UNAVAILABLE, String.valueOf(cause.getMessage()));
  }

  /** Returns the kind of a future's failure; failures of other types count as unknown outcomes. */
  public static Kind kindOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof StoreException e ? e.kind : Kind.OUTCOME_UNKNOWN;
  }
}
