package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * The part of a customer's allowance that this instance may use: a bucket that refills at the
 * instance's share of the rate. A request passes while anything is left and may overdraw the
 * bucket, because a part of an allowance is often smaller than one large request; what was
 * overdrawn is refilled first. A new bucket holds no part of the burst, so that restarted instances
 * do not spend it twice.
 */
public final class Allowance {
  /** The longest time to come back that is told to a caller, in seconds. */
  private static final double MAX_WAIT_SECONDS = 60;

  private double tokens;
  private long filledNanos;

  /**
   * Creates a bucket that begins to fill now.
   *
   * @param initial what it holds at once
   */
  public Allowance(double initial, long nowNanos) {
    tokens = initial;
    filledNanos = nowNanos;
  }

  /**
   * Takes a request's cost, or returns how long to wait.
   *
   * @return 0 when the cost was taken, else the time until something is left, in milliseconds
   */
  public long tryTake(double cost, AllowanceTerms terms, long nowNanos) {
    double elapsedSeconds = (nowNanos - filledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    double filled = tokens + Math.max(0, elapsedSeconds) * terms.perSecond();
    tokens = Math.min(terms.capacity(), filled);
    filledNanos = nowNanos;
    if (tokens > 0) {
      tokens = Math.max(tokens - cost, -terms.maxDebt());
      return 0;
    }
    double seconds = terms.perSecond() <= 0 ? MAX_WAIT_SECONDS : -tokens / terms.perSecond();
    return 1 + (long) (Math.min(MAX_WAIT_SECONDS, seconds) * TimeUnit.SECONDS.toMillis(1));
  }

  /** Gives back the cost of a request that was not sent to any endpoint. */
  public void giveBack(double cost) {
    tokens += cost;
  }
}
