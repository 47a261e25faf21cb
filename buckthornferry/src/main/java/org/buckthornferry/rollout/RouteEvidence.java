package org.buckthornferry.rollout;

/** The tests of the new version on one route, against the old version in the same period. */
final class RouteEvidence {
  /** A failure rate below this is taken as this, since few requests cannot prove less. */
  private static final double MIN_FAILURE_RATE = 0.002;

  /** The lowest assumed rate of slow requests of a sound version. */
  private static final double MIN_SLOW_RATE = 0.05;

  /** The weight of the prior in the old version's rates, in requests. */
  private static final double PRIOR_REQUESTS = 20;

  /** A step needs this many requests of the new version on each route with traffic. */
  static final long REQUESTS_PER_STEP = 20;

  private static final double MAX_RATE = 0.95;

  private final SequentialTest failures = new SequentialTest();
  private final SequentialTest slowness = new SequentialTest();
  private RouteCounts oldCounts = RouteCounts.ZERO;
  private RouteCounts newCounts = RouteCounts.ZERO;
  private long newEndedAtStepStart;
  private long oldEndedAtStepStart;

  void addOld(RouteCounts batch) {
    oldCounts = oldCounts.plus(batch);
  }

  void addNew(RouteCounts batch, FaultTerms terms) {
    newCounts = newCounts.plus(batch);
    double baseFailureRate = rate(oldCounts.failed(), MIN_FAILURE_RATE);
    failures.add(
        batch.failed(),
        batch.ended() - batch.failed(),
        baseFailureRate,
        Math.min(MAX_RATE, baseFailureRate + terms.maxFailureShare()));
    double baseSlowRate = Math.min(0.5, rate(oldCounts.slow(), MIN_SLOW_RATE));
    slowness.add(
        batch.slow(),
        batch.ended() - batch.failed() - batch.slow(),
        baseSlowRate,
        baseSlowRate + (1 - baseSlowRate) * terms.slowRise());
  }

  void stepStarted() {
    newEndedAtStepStart = newCounts.ended();
    oldEndedAtStepStart = oldCounts.ended();
  }

  /** Returns the requests of the new version in this step. */
  long newInStep() {
    return newCounts.ended() - newEndedAtStepStart;
  }

  /** Returns whether the route has had traffic of either version in this step. */
  boolean hasTraffic() {
    return newInStep() > 0 || oldCounts.ended() > oldEndedAtStepStart;
  }

  boolean showsFault() {
    return failures.showsFault() || slowness.showsFault();
  }

  /** Returns whether the step is proved sound on this route with at least {@code minRequests}. */
  boolean passes(long minRequests) {
    return newInStep() >= minRequests && isUnsuspicious();
  }

  /** Returns whether the evidence is below half of what a fault needs. */
  boolean isUnsuspicious() {
    return failures.sum() < SequentialTest.FAULT_THRESHOLD / 2
        && slowness.sum() < SequentialTest.FAULT_THRESHOLD / 2;
  }

  /** Returns by how much the share of failed and slow requests is above the old version's. */
  double badShareRise() {
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
