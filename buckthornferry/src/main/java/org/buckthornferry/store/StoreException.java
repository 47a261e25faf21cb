package org.buckthornferry.store;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.buckthornferry.http.HttpFailure;
import org.buckthornferry.util.Checks;

/** Thrown when a call to the store fails. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The cause of a failed call and whether the call may have taken effect. */
  public enum Kind {
    /** The key has another version than expected; nothing changed. */
    CONFLICT,
    /** The store did not accept the call; nothing changed. */
    UNAVAILABLE,
    /** No response arrived; the change may or may not have taken effect. */
    OUTCOME_UNKNOWN,
    /** The lease does not exist or has expired. */
    LEASE_EXPIRED,
    /** The store rejected the call by its rate limit; nothing changed. */
    RATE_LIMITED,
    /** The value is larger than 1 MB; nothing changed. */
    TOO_LARGE,
    /** The store no longer has the changes after the given revision; list the keys again. */
    HISTORY_LOST
  }

  private final Kind kind;

  /** Creates an exception of the given kind. */
  public StoreException(Kind kind, String message) {
    super(message);
    this.kind = Checks.notNull(kind, "kind");
  }

  private StoreException(Kind kind, Throwable cause) {
    super(String.valueOf(cause.getMessage()), cause);
    this.kind = kind;
  }

  /** Creates the exception of a call whose connection broke before the response. */
  public static StoreException connectionBroken(IOException cause) {
    return new StoreException(Kind.OUTCOME_UNKNOWN, cause);
  }

  /** Returns the kind of the failure. */
  public Kind kind() {
    return kind;
  }

  /**
   * Converts the failure of an HTTP call: the outcome is unknown when bytes of the request may have
   * been sent, and otherwise the store was unavailable.
   */
  public static StoreException fromHttpFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean bytesSent = !(cause instanceof HttpFailure known) || known.mayHaveReachedServer();
    return new StoreException(bytesSent ? Kind.OUTCOME_UNKNOWN : Kind.UNAVAILABLE, cause);
  }

  /** Returns whether a call has failed because its connection broke or could not be opened. */
  public static boolean isBrokenConnection(Throwable failure) {
    Throwable cause = failure;
    while (cause != null && !(cause instanceof IOException)) {
      cause = cause.getCause();
    }
    return cause != null;
  }

  /** Returns the kind of a future's failure; other exceptions count as an unknown outcome. */
  public static Kind kindOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof StoreException e ? e.kind : Kind.OUTCOME_UNKNOWN;
  }
}
