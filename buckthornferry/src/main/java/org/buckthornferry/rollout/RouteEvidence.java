package org.buckthornferry.rollout;

/** Compares the new version with the old one on one route over the same period. */
final class RouteEvidence {
  /** The lowest assumed failure rate, since few requests cannot prove a lower one. */
  private static final double MIN_FAILURE_RATE = 0.002;

  /** The lowest assumed rate of slow requests of a sound version. */
  private static final double MIN_SLOW_RATE = 0.05;

  /** The weight of the prior in the estimated rates of the old version, in requests. */
  private static final double PRIOR_REQUESTS = 20;

  /** The minimum number of requests of the new version in a step, for each route with traffic. */
  static final long MIN_REQUESTS_PER_STEP = 20;

  private static final double MAX_FAULT_RATE = 0.95;

  /** The share of the other answers that are slow at a version that is slow in general. */
  private static final double GENERAL_SLOW_SHARE = 0.6;

  private final CusumTest failures = new CusumTest();
  private final CusumTest slowness = new CusumTest();
  private final CusumTest generalSlowness = new CusumTest();
  private RouteCounts oldCounts = RouteCounts.ZERO;
  private RouteCounts newCounts = RouteCounts.ZERO;
  private long newEndedAtStepStart;
  private long oldEndedAtStepStart;

  void addOld(RouteCounts batch) {
    oldCounts = oldCounts.plus(batch);
  }

  void addNew(RouteCounts batch, FaultThresholds thresholds) {
    newCounts = newCounts.plus(batch);
    double baseFailureRate = rate(oldCounts.failed(), MIN_FAILURE_RATE);
    failures.add(
        batch.failed(),
        batch.ended() - batch.failed(),
        baseFailureRate,
        Math.min(MAX_FAULT_RATE, baseFailureRate + thresholds.maxFailureShare()));
    double baseSlowRate = Math.min(0.5, rate(oldCounts.slow(), MIN_SLOW_RATE));
    slowness.add(
        batch.slow(),
        batch.ended() - batch.failed() - batch.slow(),
        baseSlowRate,
        baseSlowRate + (1 - baseSlowRate) * thresholds.slowShareIncrease());
    generalSlowness.add(
        batch.slow(),
        batch.ended() - batch.failed() - batch.slow(),
        baseSlowRate,
        baseSlowRate + (1 - baseSlowRate) * GENERAL_SLOW_SHARE);
  }

  void stepStarted() {
    newEndedAtStepStart = newCounts.ended();
    oldEndedAtStepStart = oldCounts.ended();
  }

  /** Returns the number of requests of the new version in this step. */
  long newInStep() {
    return newCounts.ended() - newEndedAtStepStart;
  }

  /** Returns whether the route has had traffic of either version in this step. */
  boolean hasTraffic() {
    return newInStep() > 0 || oldCounts.ended() > oldEndedAtStepStart;
  }

  boolean showsFault() {
    return failures.showsFault() || slowness.showsFault() || generalSlowness.showsFault();
  }

  /** Returns whether the route passes the step with at least {@code minRequests} requests. */
  boolean passes(long minRequests) {
    return newInStep() >= minRequests && isBelowWarningLevel();
  }

  /** Returns whether the evidence is below half of the fault threshold. */
  boolean isBelowWarningLevel() {
    return failures.sum() < CusumTest.FAULT_THRESHOLD / 2
        && slowness.sum() < CusumTest.FAULT_THRESHOLD / 2
        && generalSlowness.sum() < CusumTest.FAULT_THRESHOLD / 2;
  }

  /** Returns the increase of the share of failed and slow requests over the old version. */
  double badShareIncrease() {
    return badShare(newCounts) - badShare(oldCounts);
  }

  private static double badShare(RouteCounts counts) {
    return (counts.failed() + counts.slow()) / (double) Math.max(1, counts.ended());
  }

  String faultReason() {
    String kind = failures.showsFault() ? "failures" : "slow responses";
    return kind
        + " after "
        + newCounts.ended()
        + " requests, "
        + newCounts.failed()
        + " failed, "
        + newCounts.slow()
        + " slow";
  }

  private double rate(long bad, double min) {
    double ended = oldCounts.ended();
    return Math.min(0.5, Math.max(min, (bad + min * PRIOR_REQUESTS) / (ended + PRIOR_REQUESTS)));
  }
}
