package org.buckthornferry.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The trial of a version that operators have ordered for a service, as one instance sees it. Until
 * the trial has ended the version gets a small part of the requests. Used by one thread.
 */
public final class CanaryTrial {
  /** A sound version fails at most this part more of its requests than the old one. */
  private static final double MAX_FAILURE_SHARE = 0.05;

  /**
   * A version is at fault when this part more of its requests are slow. A fault may concern a part
   * of the answers only, and a trial sees few answers.
   */
  private static final double SLOW_RISE = 0.2;

  /** A request is slow when it takes this many times as long as the old version's median. */
  private static final double SLOW_RATIO = 3;

  /** The part of the permitted share of requests that is used; windows of counting differ. */
  private static final double USED_SHARE = 0.75;

  /** The part of the permitted constant that all instances together use; some may restart. */
  private static final double USED_SLACK_SHARE = 0.6;

  /** The part of the constant that is used at once; the rest is for faults that show later. */
  private static final double EARLY_SLACK_SHARE = 0.4;

  /** A route may be this many requests ahead of the one that was tried least, besides twice its. */
  private static final int ROUTE_LEAD = 3;

  /** A sound version has at most this part more bad answers than the old one at the end. */
  private static final double MAX_BAD_RISE = 0.2;

  /** Answers of the version that a trial needs, over all instances. */
  private static final long MIN_ENDED = 12;

  /** How long before its end a trial is decided, in milliseconds; covers a slow store. */
  private static final long DECISION_MARGIN_MILLIS = 2_000;

  /** The largest part of a short trial that the margin takes. */
  private static final double MAX_MARGIN_SHARE = 0.2;

  /** All routes together; a fault of all shows sooner there. */
  private static final String ALL_ROUTES = "*";

  private final long durationMillis;
  private final MoveEvidence evidence =
      new MoveEvidence(new FaultTerms(MAX_FAILURE_SHARE, SLOW_RISE));
  private final Map<String, RouteCounts> oldCounts = new HashMap<>();
  private final Map<String, RouteCounts> newCounts = new HashMap<>();
  private final Map<String, Integer> placedByRoute = new HashMap<>();
  private long placed;
  private long placedNew;

  /** What a trial says at a moment. */
  public enum Verdict {
    /** More answers are needed. */
    OPEN,
    /** The version is sound and its time has come. */
    SOUND,
    /** The version is at fault, or its time is over before it was shown to be sound. */
    FAULTY
  }

  /** How an attempt at an endpoint ended. */
  public enum Ending {
    /** The endpoint answered as it should. */
    ANSWERED,
    /** The endpoint failed. */
    FAILED,
    /** The caller left, or its time was over, before the answer was complete. */
    CUT_SHORT
  }

  /**
   * The bound of requests that an unproven version may get.
   *
   * @param share of all requests of the service
   * @param slack such requests besides, over all instances
   * @param instances the instances that share {@code slack}
   */
  public record Exposure(double share, double slack, int instances) {}

  /**
   * An attempt that has ended.
   *
   * @param millisPerUnit its time for each unit of work, so that long and short requests compare
   */
  public record Sample(String route, boolean isNewVersion, Ending ending, double millisPerUnit) {}

  /** Counts of one route and version since the start of a process. */
  public record Reading(String route, boolean isNewVersion, RouteCounts counts) {}

  /** Creates a trial of which nothing is known. */
  public CanaryTrial(long durationMillis) {
    this.durationMillis = durationMillis;
  }

  /** Returns whether the next request of a route should go to the new version. */
  public boolean prefersNew(String route, Exposure exposure, long elapsedMillis) {
    double passed = Math.min(1, elapsedMillis / (double) Math.max(1, durationMillis));
    double slack =
        USED_SLACK_SHARE
            * (EARLY_SLACK_SHARE + (1 - EARLY_SLACK_SHARE) * passed)
            * exposure.slack
            / Math.max(1, exposure.instances);
    int least = placedByRoute.values().stream().mapToInt(Integer::intValue).min().orElse(0);
    return elapsedMillis < durationMillis
        && placedNew + 1 <= USED_SHARE * exposure.share * placed + slack
        && placedByRoute.getOrDefault(route, 0) < ROUTE_LEAD + 2 * least;
  }

  /** A request is on its way to an endpoint. */
  public void onPlaced(String route, boolean isNewVersion) {
    placed++;
    placedNew += isNewVersion ? 1 : 0;
    placedByRoute.merge(route, isNewVersion ? 1 : 0, Integer::sum);
  }

  /** A request that was placed has not been sent. */
  public void onWithdrawn(String route, boolean isNewVersion) {
    placed--;
    placedNew -= isNewVersion ? 1 : 0;
    placedByRoute.merge(route, isNewVersion ? -1 : 0, Integer::sum);
  }

  /**
   * Adds an attempt at either version.
   *
   * @param baseline the times of the old version
   * @return whether it is a failed or slow one of the new version
   */
  public boolean add(Sample sample, LatencyBaseline baseline) {
    // Until an instance knows the times of a route it compares with those of all routes.
    String compared = baseline.isKnown(sample.route) ? sample.route : ALL_ROUTES;
    boolean isFailed = sample.ending == Ending.FAILED;
    boolean isSlow = !isFailed && baseline.isSlow(compared, sample.millisPerUnit, SLOW_RATIO);
    boolean saysNothing =
        !isFailed && !isSlow && (sample.ending == Ending.CUT_SHORT || !baseline.isKnown(compared));
    if (saysNothing) {
      return false;
    }
    Map<String, RouteCounts> counts = sample.isNewVersion ? newCounts : oldCounts;
    RouteCounts one = RouteCounts.ZERO.plusOne(isFailed, isSlow);
    counts.merge(sample.route, one, RouteCounts::plus);
    counts.merge(ALL_ROUTES, one, RouteCounts::plus);
    return sample.isNewVersion && (isFailed || isSlow);
  }

  /** Adds an answer of the old version to its times. */
  public static void addBaselineSample(
      LatencyBaseline baseline, String route, double millisPerUnit) {
    baseline.add(route, millisPerUnit);
    baseline.add(ALL_ROUTES, millisPerUnit);
  }

  /** Returns what this instance has counted since its start. */
  public List<Reading> readings() {
    List<Reading> readings = new ArrayList<>();
    oldCounts.forEach((route, counts) -> readings.add(new Reading(route, false, counts)));
    newCounts.forEach((route, counts) -> readings.add(new Reading(route, true, counts)));
    return readings;
  }

  /** Takes over the counts of an instance; those that arrive twice or late change nothing. */
  public void read(String source, List<Reading> readings) {
    for (Reading reading : readings) {
      evidence.read(source, reading.route, reading.isNewVersion, reading.counts);
    }
  }

  /** Returns why the version is at fault, or empty. */
  public Optional<String> fault() {
    return evidence.fault();
  }

  /** Decides by all counts that have been read. */
  public Verdict verdict(long elapsedMillis) {
    if (evidence.fault().isPresent()) {
      return Verdict.FAULTY;
    }
    long marginMillis = (long) Math.min(DECISION_MARGIN_MILLIS, MAX_MARGIN_SHARE * durationMillis);
    if (elapsedMillis < durationMillis - marginMillis) {
      return Verdict.OPEN;
    }
    boolean isSound =
        answers() >= MIN_ENDED
            && evidence.isUnsuspicious()
            && evidence.badShareRise(ALL_ROUTES) <= MAX_BAD_RISE;
    return isSound ? Verdict.SOUND : Verdict.FAULTY;
  }

  /** Returns whether too little time is left to wait for further counts. */
  public boolean isDecisionDue(long elapsedMillis) {
    return elapsedMillis >= durationMillis - marginMillis() / 2;
  }

  private double marginMillis() {
    return Math.min(DECISION_MARGIN_MILLIS, MAX_MARGIN_SHARE * durationMillis);
  }

  /** Returns the answers of the new version that have been read. */
  public long answers() {
    // Each answer counts for its route and for all routes.
    return evidence.newEnded() / 2;
  }

  /** Returns how many requests went to the new version from here, and how many to both. */
  public String placements() {
    return placedNew + " of " + placed;
  }
}
