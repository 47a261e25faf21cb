package org.buckthornferry.capacity;

import org.buckthornferry.util.Checks;

/**
 * A load report of an endpoint, corrected for its lag.
 *
 * @param running the number of requests that ran when the sample was taken
 * @param sampledNanos when the sample was taken, on this instance's monotonic clock
 */
public record LoadSample(long running, long sampledNanos) {
  /** Checks that the count is not negative. */
  public LoadSample {
    Checks.notNegative(running, "running");
  }
}
