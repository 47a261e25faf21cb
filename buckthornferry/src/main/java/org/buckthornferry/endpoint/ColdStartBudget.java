package org.buckthornferry.endpoint;

/** The concurrency limit of an endpoint after a cold start; it grows with successful requests. */
final class ColdStartBudget {
  private final int coldConcurrent;
  private final int maxConcurrent;
  private int budget;
  private long successes;

  ColdStartBudget(int coldConcurrent, int maxConcurrent) {
    this.coldConcurrent = coldConcurrent;
    this.maxConcurrent = maxConcurrent;
    this.budget = coldConcurrent;
  }

  int budget() {
    return budget;
  }

  boolean isInitial() {
    return budget == coldConcurrent;
  }

  boolean isComplete() {
    return budget >= maxConcurrent;
  }

  void restart() {
    budget = coldConcurrent;
    successes = 0;
  }

  void complete() {
    budget = maxConcurrent;
    successes = 0;
  }

  /** Counts successes and doubles the budget once their number reaches it, at most once a call. */
  void onSuccesses(long count) {
    if (isComplete()) {
      return;
    }
    successes += count;
    if (successes >= budget) {
      successes = 0;
      budget = (int) Math.min(maxConcurrent, 2L * budget);
    }
  }

  /** Sets a budget that another instance decided. */
  void set(int newBudget) {
    budget = Math.max(1, Math.min(maxConcurrent, newBudget));
    successes = 0;
  }
}
