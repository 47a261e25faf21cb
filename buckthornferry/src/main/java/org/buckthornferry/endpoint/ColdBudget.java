package org.buckthornferry.endpoint;

/** The concurrency that an endpoint may use while it proves itself after a cold start. */
final class ColdBudget {
  private final int coldConcurrent;
  private final int maxConcurrent;
  private int budget;
  private long successes;

  ColdBudget(int coldConcurrent, int maxConcurrent) {
    this.coldConcurrent = coldConcurrent;
    this.maxConcurrent = maxConcurrent;
    this.budget = coldConcurrent;
  }

  int budget() {
    return budget;
  }

  boolean isAtStart() {
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

  /** Counts successes; doubles the budget at most once, after as many successes as the budget. */
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

  /** Adopts a budget decided by another instance. */
  void adopt(int newBudget) {
    budget = Math.max(1, Math.min(maxConcurrent, newBudget));
    successes = 0;
  }
}
