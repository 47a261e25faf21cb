package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;

/** A sum over a sliding window that advances in steps of a tenth of its length. */
public final class SlidingWindowSum {
  private static final int STEPS = 10;

  private final long stepNanos;
  private final double[] sums = new double[STEPS];
  private long currentStep = Long.MIN_VALUE;

  /** Creates an empty sum over a window of the given length. */
  public SlidingWindowSum(long windowMillis) {
    this.stepNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis) / STEPS;
  }

  /** Adds an amount at the given time. */
  public void add(double amount, long nowNanos) {
    advance(nowNanos);
    sums[Math.floorMod(currentStep, STEPS)] += amount;
  }

  /** Returns the sum over the window that ends at the given time. */
  public double sum(long nowNanos) {
    advance(nowNanos);
    double total = 0;
    for (double sum : sums) {
      total += sum;
    }
    return total;
  }

  private void advance(long nowNanos) {
    long step = Math.floorDiv(nowNanos, stepNanos);
    if (currentStep == Long.MIN_VALUE || step - currentStep >= STEPS) {
      java.util.Arrays.fill(sums, 0);
      currentStep = step;
      return;
    }
    while (currentStep < step) {
      currentStep++;
      sums[Math.floorMod(currentStep, STEPS)] = 0;
    }
  }
}
