package org.buckthornferry.catalog;

/** The execution semantics of a route's requests, which decide whether they may be retried. */
public enum RouteKind {
  /** Requests may run more than once. */
  IDEMPOTENT {
    @Override
    boolean isRetryable(boolean isResumable) {
      return true;
    }
  },
  /** Requests run at most once. */
  NON_IDEMPOTENT {
    @Override
    boolean isRetryable(boolean isResumable) {
      return false;
    }
  },
  /** Responses are event streams; requests run again only if the stream can be resumed. */
  STREAMING {
    @Override
    boolean isRetryable(boolean isResumable) {
      return isResumable;
    }
  };

  abstract boolean isRetryable(boolean isResumable);
}
