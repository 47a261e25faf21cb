package org.buckthornferry.capacity;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Checks;

/**
 * The numbers that govern grants.
 *
 * @param grantValidMillis how long a grant is valid, counted from the request for it
 * @param fallbackValidMillis how long a fallback slice is valid, counted the same way
 * @param requestMillis the time between two requests for the same grants
 * @param settleMillis how long a new owner waits beyond {@code grantValidMillis} before it uses
 *     what nobody reported; two heartbeats
 */
public record CapacitySettings(
    long grantValidMillis, long fallbackValidMillis, long requestMillis, long settleMillis) {
  /** The values of the design page. */
  public static final CapacitySettings DEFAULT = new CapacitySettings(2_000, 120_000, 300, 500);

  /** Checks that the numbers are positive. */
  public CapacitySettings {
    Checks.positive(grantValidMillis, "grantValidMillis");
    Checks.positive(fallbackValidMillis, "fallbackValidMillis");
    Checks.positive(requestMillis, "requestMillis");
    Checks.notNegative(settleMillis, "settleMillis");
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

  /** Returns the validity that an owner counts: 2% more, for two clocks that each drift by 1%. */
  static long ownerNanos(long validNanos) {
    return validNanos + validNanos / 50;
  }
}
