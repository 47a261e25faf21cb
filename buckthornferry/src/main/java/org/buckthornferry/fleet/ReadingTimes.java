package org.buckthornferry.fleet;

/**
 * The times of hearing of changes through another instance. A reader that fails right after a
 * change is noticed within the sum of all of them, which leaves a third of the time in which a
 * change has to be in force for a call to the store itself.
 *
 * @param holdMillis how long a reader waits for a change before it replies that there is none, and
 *     how long its own call to the store waits
 * @param maxAgeMillis how old a reader's copy may be when it replies
 * @param replyMillis how long a reply may take in all
 */
record ReadingTimes(long holdMillis, long maxAgeMillis, long replyMillis) {
  /** The part of the shortest bound that a call waits. */
  private static final double HOLD_SHARE = 0.2;

  /** The part that a reader's call to the store may be late. */
  private static final double AGE_MARGIN_SHARE = 0.1;

  /** The part that a reply may be late; busy instances on slow machines need it. */
  private static final double REPLY_MARGIN_SHARE = 0.15;

  static ReadingTimes of(OperatingBounds bounds) {
    long shortestMillis = Math.min(bounds.configMillis(), bounds.drainMillis());
    long holdMillis = Math.max(1, (long) (HOLD_SHARE * shortestMillis));
    return new ReadingTimes(
        holdMillis,
        holdMillis + (long) (AGE_MARGIN_SHARE * shortestMillis),
        holdMillis + (long) (REPLY_MARGIN_SHARE * shortestMillis));
  }
}
