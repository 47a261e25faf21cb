package org.buckthornferry.membership;

import org.buckthornferry.util.Checks;

/**
 * The heartbeat, failure detection and polling intervals, in milliseconds.
 *
 * @param heartbeatMillis the interval between heartbeats to the same peer
 * @param suspectMillis the silence after which a member is suspected
 * @param deadMillis the silence after which a member is declared dead
 * @param listPollMillis the interval between reads of the instance list
 */
public record MembershipTimings(
    long heartbeatMillis, long suspectMillis, long deadMillis, long listPollMillis) {
  /** The defaults, from section 4.1 of the design page. */
  public static final MembershipTimings DEFAULT = new MembershipTimings(250, 1_000, 3_000, 2_000);

  /** Checks that the times are positive and increase. */
  public MembershipTimings {
    Checks.positive(heartbeatMillis, "heartbeatMillis");
    Checks.check(suspectMillis > heartbeatMillis, "suspectMillis must be above heartbeatMillis");
    Checks.check(deadMillis > suspectMillis, "deadMillis must be above suspectMillis");
    Checks.positive(listPollMillis, "listPollMillis");
  }
}
