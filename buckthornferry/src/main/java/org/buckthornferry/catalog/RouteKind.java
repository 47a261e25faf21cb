package org.buckthornferry.catalog;

/** How often the requests of a route may run. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT {
    @Override
    boolean isRetryable(boolean resumable) {
      return true;
    }
  },
  /** Runs at most once. */
  NON_IDEMPOTENT {
    @Override
    boolean isRetryable(boolean resumable) {
      return false;
    }
  },
  /** Answers with a series of events; runs again only where it can be resumed. */
  STREAMING {
    @Override
    boolean isRetryable(boolean resumable) {
      return resumable;
    }
  };

  abstract boolean isRetryable(boolean resumable);
}
