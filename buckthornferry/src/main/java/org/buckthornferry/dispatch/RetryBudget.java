package org.buckthornferry.dispatch;

/**
 * Bounds the second and further attempts of a service. Each instance may repeat a share of its own
 * requests; the sum over all instances then keeps the bound of the fleet without any agreement.
 */
public final class RetryBudget {
  /**
   * The part of the permitted ratio that is used; the rest covers windows that slide differently.
   */
  private static final double USED_RATIO_SHARE = 0.75;

  /** The part of the permitted constant that all instances together use. */
  private static final double USED_SLACK_SHARE = 0.4;

  private final SlidingCount requests;
  private final SlidingCount repeats;

  /** Creates a budget over windows of the given length. */
  public RetryBudget(long windowMillis) {
    requests = new SlidingCount(windowMillis);
    repeats = new SlidingCount(windowMillis);
  }

  /** Counts a request of a caller. */
  public void onRequest(long nowNanos) {
    requests.add(1, nowNanos);
  }

  /**
   * Takes one repeat if the budget permits it.
   *
   * @param ratio the repeats that are permitted for each request
   * @param slack the repeats that are permitted besides, over all instances
   * @param instances the number of instances that share {@code slack}
   */
  public boolean tryTake(double ratio, double slack, int instances, long nowNanos) {
    double permitted =
        USED_RATIO_SHARE * ratio * requests.sum(nowNanos)
            + USED_SLACK_SHARE * slack / Math.max(1, instances);
    if (repeats.sum(nowNanos) + 1 > permitted) {
      return false;
    }
    repeats.add(1, nowNanos);
    return true;
  }
}
