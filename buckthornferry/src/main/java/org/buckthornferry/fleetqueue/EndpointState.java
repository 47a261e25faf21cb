package org.buckthornferry.fleetqueue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.concurrency.CapacityEstimate;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.PromptPrefix;

/**
 * What the coordinator knows of an endpoint: what runs there, its failures, its prompt prefixes.
 */
final class EndpointState {
  /** The first backoff after failures, in milliseconds; it doubles with each further one. */
  private static final long FIRST_FAILURE_BACKOFF_MILLIS = 250;

  /** The longest backoff after failures, in milliseconds; recovery is noticed within it. */
  private static final long MAX_FAILURE_BACKOFF_MILLIS = 3_000;

  /**
   * An answer excuses a single failure for so many mean intervals between answers. One lost
   * connection among many answers says little, and may be the fault of one instance's network; an
   * endpoint that has ended answers nobody.
   */
  private static final double TRUST_INTERVALS = 4;

  private static final long MIN_TRUST_MILLIS = 100;
  private static final long MAX_TRUST_MILLIS = 1_000;

  /** The weight of a new interval between answers in their mean. */
  private static final double INTERVAL_WEIGHT = 0.1;

  /** The first backoff after a rejection for lack of a slot, in milliseconds. */
  private static final long FIRST_FULL_BACKOFF_MILLIS = 8;

  /** The longest backoff after rejections for lack of a slot, in milliseconds. */
  private static final long MAX_FULL_BACKOFF_MILLIS = 256;

  /** The backoff after a rejection by an endpoint that closes its connections, in milliseconds. */
  private static final long CLOSING_BACKOFF_MILLIS = 400;

  /** How long a prompt prefix is expected to stay in an endpoint's cache, in milliseconds. */
  private static final long PREFIX_RETENTION_MILLIS = 15_000;

  /** The number of prompt prefixes that are remembered for an endpoint. */
  private static final int MAX_PREFIXES = 64;

  /**
   * How long an idle connection stays usable, in milliseconds; endpoints close them after 1.5 s.
   */
  private static final long CONNECTION_MILLIS = 1_200;

  /**
   * How long an instance gets no further grant at an endpoint that it may not use, in milliseconds:
   * it knows of a pause, a shutdown or a failure that the coordinator has not seen.
   */
  private static final long AVOIDED_MILLIS = 400;

  /** The smoothing factor of the moving average of errors. */
  private static final double ERROR_WEIGHT = 0.1;

  private final Map<String, Integer> runningByInstance = new HashMap<>();
  private final Map<String, Long> lastEndNanosByInstance = new HashMap<>();
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private final LinkedHashMap<String, Long> prefixNanos =
      new LinkedHashMap<>(16, 0.75f, /* accessOrder= */ true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_PREFIXES;
        }
      };
  private Endpoint endpoint;
  private CapacityEstimate estimate = new CapacityEstimate(1, 0, 0, 0, 0, 0, 0);
  private int running;
  private int consecutiveFull;
  private int consecutiveFailures;
  private long backoffUntilNanos;
  private long answeredNanos;
  private double answerIntervalMillis = MAX_TRUST_MILLIS / TRUST_INTERVALS;
  private double errorShare;

  EndpointState(Endpoint endpoint, long nowNanos) {
    this.endpoint = endpoint;
    this.backoffUntilNanos = nowNanos;
    this.answeredNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(MAX_TRUST_MILLIS);
  }

  Endpoint endpoint() {
    return endpoint;
  }

  void update(Endpoint newer) {
    endpoint = newer;
  }

  /** Returns what was last estimated of its speed and its limit. */
  CapacityEstimate estimate() {
    return estimate;
  }

  void setEstimate(CapacityEstimate newEstimate) {
    estimate = newEstimate;
  }

  /** Returns the number of requests of all instances at the endpoint. */
  int running() {
    return running;
  }

  double errorShare() {
    return errorShare;
  }

  /** Returns whether the endpoint may get a request as far as failures are concerned. */
  boolean isAvailable(long nowNanos) {
    boolean mayProbe = consecutiveFailures <= 1 || running == 0;
    return mayProbe && backoffUntilNanos - nowNanos <= 0;
  }

  void onGranted(String instanceId, PromptPrefix prefix, long nowNanos) {
    setRunning(instanceId, runningByInstance.getOrDefault(instanceId, 0) + 1);
    if (prefix.tokens() > 0) {
      prefixNanos.put(prefix.rootId(), nowNanos);
    }
  }

  /** Sets the number of requests of an instance at the endpoint. */
  void setRunning(String instanceId, int count) {
    Integer before =
        count <= 0
            ? runningByInstance.remove(instanceId)
            : runningByInstance.put(instanceId, count);
    running += Math.max(0, count) - (before == null ? 0 : before);
  }

  void removeInstance(String instanceId) {
    setRunning(instanceId, 0);
    lastEndNanosByInstance.remove(instanceId);
    avoidedUntilNanos.remove(instanceId);
  }

  /** Returns the number of prompt tokens that the endpoint is expected to have cached. */
  double cachedTokens(PromptPrefix prefix, long nowNanos) {
    Long usedNanos = prefix.tokens() > 0 ? prefixNanos.get(prefix.rootId()) : null;
    boolean isKept =
        usedNanos != null
            && nowNanos - usedNanos < TimeUnit.MILLISECONDS.toNanos(PREFIX_RETENTION_MILLIS);
    return isKept ? prefix.tokens() : 0;
  }

  /** Returns whether an instance probably has an open connection to the endpoint. */
  boolean hasConnection(String instanceId, long nowNanos) {
    Long endNanos = lastEndNanosByInstance.get(instanceId);
    return endNanos != null
        && nowNanos - endNanos < TimeUnit.MILLISECONDS.toNanos(CONNECTION_MILLIS);
  }

  /** Returns whether an instance has recently returned a grant as not usable. */
  boolean isAvoidedBy(String instanceId, long nowNanos) {
    Long untilNanos = avoidedUntilNanos.get(instanceId);
    return untilNanos != null && untilNanos - nowNanos > 0;
  }

  void onEnded(String instanceId, AttemptOutcome outcome, long nowNanos) {
    if (outcome == AttemptOutcome.HELD_BACK) {
      avoidedUntilNanos.put(instanceId, nowNanos + TimeUnit.MILLISECONDS.toNanos(AVOIDED_MILLIS));
    }
    setRunning(instanceId, runningByInstance.getOrDefault(instanceId, 0) - 1);
    switch (outcome.evidence()) {
      case GOOD -> {
        onAnswer(instanceId, nowNanos);
        errorShare -= ERROR_WEIGHT * errorShare;
      }
      case ERROR -> {
        onAnswer(instanceId, nowNanos);
        errorShare += ERROR_WEIGHT * (1 - errorShare);
      }
      case BUSY -> {
        consecutiveFull++;
        backOff(
            Math.min(
                MAX_FULL_BACKOFF_MILLIS,
                FIRST_FULL_BACKOFF_MILLIS << Math.min(consecutiveFull - 1, 8)),
            nowNanos);
      }
      case LEAVING -> backOff(CLOSING_BACKOFF_MILLIS, nowNanos);
      case BROKEN -> onFailure(nowNanos);
      // The report may concern an earlier process at the address; instances check that themselves.
      case GONE -> backOff(MAX_FAILURE_BACKOFF_MILLIS, nowNanos);
      case NONE -> {}
      default -> throw new IllegalStateException("unknown evidence " + outcome.evidence());
    }
  }

  private void onAnswer(String instanceId, long nowNanos) {
    double intervalMillis = (nowNanos - answeredNanos) / 1e6;
    answerIntervalMillis += INTERVAL_WEIGHT * (intervalMillis - answerIntervalMillis);
    answeredNanos = nowNanos;
    consecutiveFailures = 0;
    consecutiveFull = 0;
    lastEndNanosByInstance.put(instanceId, nowNanos);
  }

  private void onFailure(long nowNanos) {
    errorShare += ERROR_WEIGHT * (1 - errorShare);
    consecutiveFailures++;
    boolean isTrusted = nowNanos - answeredNanos < TimeUnit.MILLISECONDS.toNanos(trustMillis());
    if (consecutiveFailures == 1 && isTrusted) {
      return;
    }
    backOff(
        Math.min(
            MAX_FAILURE_BACKOFF_MILLIS,
            FIRST_FAILURE_BACKOFF_MILLIS << Math.min(consecutiveFailures - 1, 5)),
        nowNanos);
  }

  private long trustMillis() {
    long millis = (long) (TRUST_INTERVALS * answerIntervalMillis);
    return Math.max(MIN_TRUST_MILLIS, Math.min(MAX_TRUST_MILLIS, millis));
  }

  private void backOff(long millis, long nowNanos) {
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    backoffUntilNanos = Math.max(backoffUntilNanos, untilNanos);
  }
}
