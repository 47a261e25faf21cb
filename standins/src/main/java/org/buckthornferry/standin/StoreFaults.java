package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The faults of the store stand-in.
 *
 * @param outage whether every call is refused with 503
 * @param hang whether calls are accepted and never answered
 * @param delayMillis the delay before each call takes effect, in milliseconds
 * @param loseNextAnswers the number of coming changes whose answer is lost after they took effect
 * @param loseAnswerShare the share of changes whose answer is lost after they took effect
 */
record StoreFaults(
    boolean outage, boolean hang, long delayMillis, int loseNextAnswers, double loseAnswerShare) {
  static final StoreFaults NONE = new StoreFaults(false, false, 0, 0, 0);

  StoreFaults {
    Checks.notNegative(delayMillis, "delayMillis");
    Checks.notNegative(loseNextAnswers, "loseNextAnswers");
    Checks.check(loseAnswerShare >= 0 && loseAnswerShare <= 1, "loseAnswerShare must be 0 to 1");
  }

  StoreFaults withLoseNextAnswers(int count) {
    return new StoreFaults(outage, hang, delayMillis, count, loseAnswerShare);
  }
}
