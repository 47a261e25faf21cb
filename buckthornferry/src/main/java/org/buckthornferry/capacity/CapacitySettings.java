package org.buckthornferry.capacity;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Checks;

/**
 * The durations that govern grants.
 *
 * @param grantValidMillis how long a grant is valid, counted from the send of its request
 * @param fallbackValidMillis how long a fallback slice is valid, counted the same way
 * @param requestMillis the period of requests for the same grants
 * @param takeoverGraceMillis how long a new owner waits beyond {@code grantValidMillis} before it
 *     grants capacity that no holder reported; two heartbeats
 */
public record CapacitySettings(
    long grantValidMillis, long fallbackValidMillis, long requestMillis, long takeoverGraceMillis) {
  /** The default durations. */
  public static final CapacitySettings DEFAULT = new CapacitySettings(2_000, 120_000, 300, 500);

  /** Checks that the validities and the period are positive and the grace is not negative. */
  public CapacitySettings {
    Checks.positive(grantValidMillis, "grantValidMillis");
    Checks.positive(fallbackValidMillis, "fallbackValidMillis");
    Checks.positive(requestMillis, "requestMillis");
    Checks.notNegative(takeoverGraceMillis, "takeoverGraceMillis");
  }

  long grantValidNanos() {
    return TimeUnit.MILLISECONDS.toNanos(grantValidMillis);
  }

  long fallbackValidNanos() {
    return TimeUnit.MILLISECONDS.toNanos(fallbackValidMillis);
  }

  long requestNanos() {
    return TimeUnit.MILLISECONDS.toNanos(requestMillis);
  }

  /**
   * Returns the validity as an owner counts it: 2% longer, for two clocks that each drift by 1%.
   */
  static long withClockDrift(long validNanos) {
    return validNanos + validNanos / 50;
  }
}
