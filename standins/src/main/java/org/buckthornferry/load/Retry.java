package org.buckthornferry.load;

/**
 * What a caller does after a failed attempt.
 *
 * @param allowed whether the caller may repeat the request
 * @param waitMillis the wait that the answer asked for; 0 when it named none
 * @param finalOutcome the outcome when the caller does not repeat
 */
record Retry(boolean allowed, long waitMillis, Outcome finalOutcome) {
  static final String CONNECTION_LOST = "CONNECTION_LOST";
  static final String CONNECT_FAILED = "CONNECT_FAILED";

  private static final long FIRST_BACKOFF_MILLIS = 50;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final int SERVER_ERRORS = 500;
  private static final int TOO_MANY_REQUESTS = 429;

  static Retry of(AttemptRecord attempt, boolean hasKey) {
    if (attempt.errorKind().equals(CONNECT_FAILED)) {
      return new Retry(true, 0, Outcome.LOST);
    }
    if (attempt.errorKind().equals(CONNECTION_LOST)) {
      return new Retry(hasKey, 0, Outcome.LOST);
    }
    boolean temporary = attempt.status() >= SERVER_ERRORS || attempt.status() == TOO_MANY_REQUESTS;
    if (attempt.notRun()) {
      return new Retry(temporary, attempt.retryAfterMillis(), Outcome.REFUSED);
    }
    return new Retry(temporary && hasKey, attempt.retryAfterMillis(), Outcome.FAILED);
  }

  /**
   * Returns the wait before the next sending.
   *
   * @param failed the earlier sendings that reached an instance
   */
  long delayMillis(int failed) {
    int doublings = Math.max(0, Math.min(failed - 1, MAX_BACKOFF_DOUBLINGS));
    return waitMillis > 0 ? waitMillis : FIRST_BACKOFF_MILLIS << doublings;
  }
}
