package org.buckthornferry.fleet;

/**
 * Timeouts of polling another instance for changes in the store. A reader that fails right after a
 * change is detected within their sum, which leaves a third of the time in which a change must be
 * in force for a call to the store itself.
 *
 * @param pollWaitMillis how long a reader waits for a change before it replies that there is none,
 *     and how long its own store watch waits
 * @param maxAgeMillis maximum age of a reader's copy when it replies
 * @param replyTimeoutMillis timeout of the whole call
 */
record ReaderTimeouts(long pollWaitMillis, long maxAgeMillis, long replyTimeoutMillis) {
  /** Fraction of the shortest propagation bound for which a poll waits. */
  private static final double POLL_WAIT_SHARE = 0.2;

  /** Margin for a late store watch of the reader, as a fraction of that bound. */
  private static final double AGE_MARGIN_SHARE = 0.1;

  /** Margin for a late reply of a busy instance, as a fraction of that bound. */
  private static final double REPLY_MARGIN_SHARE = 0.15;

  static ReaderTimeouts of(OperatingBounds bounds) {
    long shortestMillis = Math.min(bounds.configMillis(), bounds.drainMillis());
    long pollWaitMillis = Math.max(1, (long) (POLL_WAIT_SHARE * shortestMillis));
    return new ReaderTimeouts(
        pollWaitMillis,
        pollWaitMillis + (long) (AGE_MARGIN_SHARE * shortestMillis),
        pollWaitMillis + (long) (REPLY_MARGIN_SHARE * shortestMillis));
  }
}
