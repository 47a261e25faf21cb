package org.buckthornferry.dispatch;

/**
 * The retry budget of a service. Each instance may retry a share of its own requests, so that the
 * total over all instances stays within the limit without coordination.
 */
public final class RetryBudget {
  /**
   * The share of the permitted ratio that is used; the rest covers windows that are aligned
   * differently.
   */
  private static final double USED_RATIO_SHARE = 0.75;

  /** The share of the permitted slack that all instances together use. */
  private static final double USED_SLACK_SHARE = 0.4;

  private final SlidingWindowSum requests;
  private final SlidingWindowSum retries;

  /** Creates a budget over windows of the given length. */
  public RetryBudget(long windowMillis) {
    requests = new SlidingWindowSum(windowMillis);
    retries = new SlidingWindowSum(windowMillis);
  }

  /** Counts a request of a caller. */
  public void onRequest(long nowNanos) {
    requests.add(1, nowNanos);
  }

  /**
   * Takes one retry if the budget permits it.
   *
   * @param ratio the permitted retries per request
   * @param slack the retries that all instances together may make in addition
   * @param instances the number of instances that share {@code slack}
   */
  public boolean tryTake(double ratio, double slack, int instances, long nowNanos) {
    double permitted =
        USED_RATIO_SHARE * ratio * requests.sum(nowNanos)
            + USED_SLACK_SHARE * slack / Math.max(1, instances);
    if (retries.sum(nowNanos) + 1 > permitted) {
      return false;
    }
    retries.add(1, nowNanos);
    return true;
  }
}
