package org.buckthornferry.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The canary analysis of a new version that operators have requested for a service, as known to one
 * instance. Until the trial ends, the version receives a small share of the requests. Not
 * thread-safe.
 */
public final class CanaryTrial {
  /** The highest increase of the share of failed requests at a sound version. */
  private static final double MAX_FAILURE_SHARE_INCREASE = 0.05;

  /**
   * The increase of the share of slow requests at a faulty version. It is small because a fault may
   * affect only some of the answers, and a trial sees few answers.
   */
  private static final double SLOW_SHARE_INCREASE = 0.2;

  /** A request is slow when its latency exceeds this multiple of the old version's median. */
  private static final double SLOW_LATENCY_RATIO = 3;

  /** The fraction of the permitted share that is used; below 1 because counting windows differ. */
  private static final double USED_FRACTION_OF_SHARE = 0.75;

  /** The fraction of the slack that all instances use; below 1 because instances may restart. */
  private static final double USED_FRACTION_OF_SLACK = 0.6;

  /** The fraction of the used slack available at the start; the rest detects later faults. */
  private static final double INITIAL_FRACTION_OF_SLACK = 0.4;

  /** How far the requests of a route may exceed twice those of the least tried route. */
  private static final int MAX_ROUTE_LEAD_REQUESTS = 3;

  /**
   * The number of requests, over all instances, that a version may receive before its answers show
   * that it is sound. A version must be stopped in time after 50 bad answers, and unlike hardware
   * may hide from the evidence that its answers are slow.
   */
  private static final int MAX_UNPROVEN_REQUESTS = 45;

  /** The highest increase of the share of bad answers at a sound version, at the end. */
  private static final double MAX_BAD_SHARE_INCREASE = 0.2;

  /** The number of answers of the new version that a trial needs, over all instances. */
  private static final long MIN_ANSWERS = 12;

  /** How long before its end a trial is decided; covers a slow store. */
  private static final long DECISION_MARGIN_MILLIS = 2_000;

  /** The largest fraction of a short trial that the margin may take. */
  private static final double MAX_MARGIN_FRACTION = 0.2;

  /** The pseudo-route that aggregates all routes; it detects a common fault sooner. */
  private static final String ALL_ROUTES = "*";

  private final long durationMillis;
  private final RolloutEvidence evidence =
      new RolloutEvidence(new FaultThresholds(MAX_FAILURE_SHARE_INCREASE, SLOW_SHARE_INCREASE));
  private final Map<String, RouteCounts> oldCounts = new HashMap<>();
  private final Map<String, RouteCounts> newCounts = new HashMap<>();
  private final Map<String, Integer> placedByRoute = new HashMap<>();
  private long placed;
  private long placedNew;

  /** The current result of a trial. */
  public enum Verdict {
    /** More answers are needed. */
    OPEN,
    /** The version is sound and the time of the decision has come. */
    SOUND,
    /** The version is faulty, or it was not shown to be sound in time. */
    FAULTY
  }

  /** How an attempt at an endpoint ended. */
  public enum Ending {
    /** The endpoint sent a valid answer. */
    ANSWERED,
    /** The endpoint failed. */
    FAILED,
    /** The caller disconnected, or its deadline passed, before the answer was complete. */
    CUT_SHORT
  }

  /**
   * The limit of requests that a version on trial may receive.
   *
   * @param share the share of all requests of the service
   * @param slack the number of requests permitted in addition, over all instances
   * @param instances the instances that share {@code slack}
   * @param rank the position of this instance among them, from 0
   */
  public record Exposure(double share, double slack, int instances, int rank) {
    /** Returns this instance's part of a number of requests. */
    private int partOf(int requests) {
      return requests / Math.max(1, instances) + (rank < requests % Math.max(1, instances) ? 1 : 0);
    }
  }

  /**
   * An ended attempt at an endpoint.
   *
   * @param millisPerUnit the time per unit of work, so that long and short requests are comparable
   */
  public record Sample(String route, boolean isNewVersion, Ending ending, double millisPerUnit) {}

  /** The counts of one route and version since the start of a process. */
  public record Reading(String route, boolean isNewVersion, RouteCounts counts) {}

  /** Creates a trial without evidence. */
  public CanaryTrial(long durationMillis) {
    this.durationMillis = durationMillis;
  }

  /**
   * Returns whether the next request of a route should go to the new version.
   *
   * @param isProven whether the answers of all instances show so far that the version is sound
   */
  public boolean prefersNew(String route, Exposure exposure, boolean isProven, long elapsedMillis) {
    if (!isProven && placedNew >= exposure.partOf(MAX_UNPROVEN_REQUESTS)) {
      return false;
    }
    double elapsedFraction = Math.min(1, elapsedMillis / (double) Math.max(1, durationMillis));
    double slack =
        USED_FRACTION_OF_SLACK
            * (INITIAL_FRACTION_OF_SLACK + (1 - INITIAL_FRACTION_OF_SLACK) * elapsedFraction)
            * exposure.slack
            / Math.max(1, exposure.instances);
    int fewestPlaced = placedByRoute.values().stream().mapToInt(Integer::intValue).min().orElse(0);
    return elapsedMillis < durationMillis
        && placedNew + 1 <= USED_FRACTION_OF_SHARE * exposure.share * placed + slack
        && placedByRoute.getOrDefault(route, 0) < MAX_ROUTE_LEAD_REQUESTS + 2 * fewestPlaced;
  }

  /** Records a request that was placed on an endpoint. */
  public void onPlaced(String route, boolean isNewVersion) {
    placed++;
    placedNew += isNewVersion ? 1 : 0;
    placedByRoute.merge(route, isNewVersion ? 1 : 0, Integer::sum);
  }

  /** Removes a placed request that was not sent. */
  public void onWithdrawn(String route, boolean isNewVersion) {
    placed--;
    placedNew -= isNewVersion ? 1 : 0;
    placedByRoute.merge(route, isNewVersion ? -1 : 0, Integer::sum);
  }

  /**
   * Adds an attempt at either version to the counts.
   *
   * @param baseline the latencies of the old version
   * @return whether it is a failed or slow attempt at the new version
   */
  public boolean add(Sample sample, LatencyBaseline baseline) {
    // Without enough samples of a route, the baseline of all routes is used.
    String baselineRoute = baseline.isKnown(sample.route) ? sample.route : ALL_ROUTES;
    boolean isFailed = sample.ending == Ending.FAILED;
    boolean isSlow =
        !isFailed && baseline.isSlow(baselineRoute, sample.millisPerUnit, SLOW_LATENCY_RATIO);
    boolean isInconclusive =
        !isFailed
            && !isSlow
            && (sample.ending == Ending.CUT_SHORT || !baseline.isKnown(baselineRoute));
    if (isInconclusive) {
      return false;
    }
    Map<String, RouteCounts> counts = sample.isNewVersion ? newCounts : oldCounts;
    RouteCounts one = RouteCounts.ZERO.plusOne(isFailed, isSlow);
    counts.merge(sample.route, one, RouteCounts::plus);
    counts.merge(ALL_ROUTES, one, RouteCounts::plus);
    return sample.isNewVersion && (isFailed || isSlow);
  }

  /** Adds the time of an answer of the old version to its baseline. */
  public static void addBaselineSample(
      LatencyBaseline baseline, String route, double millisPerUnit) {
    baseline.add(route, millisPerUnit);
    baseline.add(ALL_ROUTES, millisPerUnit);
  }

  /** Returns the counts of this instance since its start. */
  public List<Reading> readings() {
    List<Reading> readings = new ArrayList<>();
    oldCounts.forEach((route, counts) -> readings.add(new Reading(route, false, counts)));
    newCounts.forEach((route, counts) -> readings.add(new Reading(route, true, counts)));
    return readings;
  }

  /** Adds the counts of an instance; duplicate and reordered readings have no effect. */
  public void read(String source, List<Reading> readings) {
    for (Reading reading : readings) {
      evidence.read(source, reading.route, reading.isNewVersion, reading.counts);
    }
  }

  /** Returns why the version is faulty, or empty. */
  public Optional<String> fault() {
    return evidence.fault();
  }

  /** Returns the verdict based on all counts that have been read. */
  public Verdict verdict(long elapsedMillis) {
    if (evidence.fault().isPresent()) {
      return Verdict.FAULTY;
    }
    long marginMillis =
        (long) Math.min(DECISION_MARGIN_MILLIS, MAX_MARGIN_FRACTION * durationMillis);
    if (elapsedMillis < durationMillis - marginMillis) {
      return Verdict.OPEN;
    }
    return looksSound() ? Verdict.SOUND : Verdict.FAULTY;
  }

  /** Returns whether the version would be accepted if the trial ended now. */
  public boolean looksSound() {
    return answers() >= MIN_ANSWERS
        && evidence.isBelowWarningLevel()
        && evidence.badShareIncrease(ALL_ROUTES) <= MAX_BAD_SHARE_INCREASE;
  }

  /** Returns whether the decision must be made now, without waiting for further counts. */
  public boolean isDecisionDue(long elapsedMillis) {
    return elapsedMillis >= durationMillis - marginMillis() / 2;
  }

  private double marginMillis() {
    return Math.min(DECISION_MARGIN_MILLIS, MAX_MARGIN_FRACTION * durationMillis);
  }

  /** Returns the number of answers of the new version in the counts that have been read. */
  public long answers() {
    // Each answer is counted for its route and for the pseudo-route.
    return evidence.newEnded() / 2;
  }

  /** Returns how many requests this instance placed on the new version, and how many in total. */
  public String placements() {
    return placedNew + " of " + placed;
  }
}
