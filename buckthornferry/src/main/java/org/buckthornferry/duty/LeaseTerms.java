package org.buckthornferry.duty;

/**
 * The times of a holder's lease.
 *
 * @param ttlMillis time to live in the store
 * @param authorityMillis how long the holder may act after it has sent a renewal that succeeded;
 *     shorter than the time to live, which begins when the store handles the renewal
 * @param renewalMillis time between two renewals
 */
record LeaseTerms(long ttlMillis, long authorityMillis, long renewalMillis) {
  /** Renewals per time to live: one may be lost without an effect. */
  private static final int RENEWALS_PER_LEASE = 3;

  static LeaseTerms of(DutyBounds bounds) {
    return new LeaseTerms(
        bounds.leaseMillis(),
        Math.max(0, bounds.leaseMillis() - bounds.thawMillis()),
        bounds.leaseMillis() / RENEWALS_PER_LEASE);
  }
}
