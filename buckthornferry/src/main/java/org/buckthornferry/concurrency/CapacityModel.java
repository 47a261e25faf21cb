package org.buckthornferry.concurrency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Learns the estimates of the endpoints of one service from the answers that all instances report.
 * The design and the runs that decided it are in {@code docs/design/learned-limits.md}.
 */
public final class CapacityModel {
  /** The fixed part of the time to the first event, expressed in prompt tokens. */
  public static final double FIXED_COST_TOKENS = 800;

  /** The time per prompt token that is assumed until the first answer, in milliseconds. */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;

  /** Instances that measure longer times than this, relative to others, are corrected. */
  private static final double MIN_BIAS = 1.3;

  /** The age from which on an estimate drifts towards the mean, in milliseconds. */
  private static final long FRESH_MILLIS = 5_000;

  /** The time constant of the drift, in milliseconds. */
  private static final double DRIFT_MILLIS = 20_000;

  /** The limit of an endpoint that is not used rises by one in this time, in milliseconds. */
  private static final long IDLE_RAISE_MILLIS = 5_000;

  private final LimitPolicy policy;
  private final Map<String, EndpointCapacity> endpoints = new HashMap<>();
  private final InstanceBias instances = new InstanceBias();
  private final SpeedClasses classes = new SpeedClasses();
  private final ServiceLoad load = new ServiceLoad();
  private double sumMillisPerToken;
  private int tokenEndpoints;
  private double sumMillisPerEvent;
  private int eventEndpoints;
  private long version;
  private long latestNanos;

  /** Creates a model without endpoints. */
  public CapacityModel(LimitPolicy policy) {
    this.policy = policy;
  }

  /** Sets the endpoints and their numbers of slots; what is known about others is forgotten. */
  public void setEndpoints(Map<String, Integer> slotsById) {
    endpoints.keySet().retainAll(slotsById.keySet());
    slotsById.forEach(
        (id, slots) ->
            endpoints
                .computeIfAbsent(id, key -> new EndpointCapacity(classes, slots, latestNanos))
                .setSlots(slots));
    sumMillisPerToken = 0;
    tokenEndpoints = 0;
    sumMillisPerEvent = 0;
    eventEndpoints = 0;
    endpoints.values().forEach(endpoint -> count(endpoint, 1));
  }

  private void count(EndpointCapacity endpoint, int sign) {
    if (endpoint.hasToken()) {
      sumMillisPerToken += sign * endpoint.millisPerToken();
      tokenEndpoints += sign;
    }
    if (endpoint.hasEvent()) {
      sumMillisPerEvent += sign * endpoint.millisPerEvent();
      eventEndpoints += sign;
    }
  }

  /** Adds the times of an answer. */
  public void observe(String endpointId, Observation observation, long nowNanos) {
    EndpointCapacity endpoint = endpoints.get(endpointId);
    double tokens = observation.uncachedPromptTokens() + FIXED_COST_TOKENS;
    double durationMillis = observation.firstEventMillis() + observation.streamMillis();
    boolean isUsable = Double.isFinite(durationMillis) && durationMillis >= 0 && tokens > 0;
    if (endpoint == null || !isUsable) {
      return;
    }
    latestNanos = nowNanos;
    double expectedMillis =
        endpoint.expectedMillis(observation.concurrency(), tokens, observation.events());
    if (expectedMillis > 0 && durationMillis > 0) {
      instances.add(observation.instanceId(), durationMillis / expectedMillis, nowNanos);
    }
    double factor = instances.factor(observation.instanceId());
    boolean isBiased = factor > MIN_BIAS;
    count(endpoint, -1);
    endpoint.observe(observation, isBiased ? factor : 1, !isBiased, nowNanos);
    load.add(tokens, observation.events());
    endpoint.updateLimit(load, nowNanos);
    count(endpoint, 1);
    if (endpoint.isWorthExport()) {
      endpoint.setVersion(++version);
    }
    if (load.update(endpoints.values(), nowNanos)) {
      for (EndpointCapacity other : endpoints.values()) {
        if (other.observations() > 0) {
          other.updateLimit(load, nowNanos);
        }
      }
    }
  }

  /** Records that an endpoint had no free slot. */
  public void onFull(String endpointId, int concurrency, long nowNanos) {
    EndpointCapacity endpoint = endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.onFull(concurrency, nowNanos);
    }
  }

  /** Returns what is known about an endpoint; the mean of the service if it is unknown. */
  public CapacityEstimate estimate(String endpointId, long nowNanos) {
    EndpointCapacity endpoint = endpoints.get(endpointId);
    double meanToken = meanMillisPerToken();
    double meanEvent = meanMillisPerEvent();
    if (endpoint == null || !endpoint.hasToken()) {
      int slots = endpoint == null ? 1 : endpoint.limit(nowNanos);
      return new CapacityEstimate(
          prescribed(slots, slots), meanToken, meanEvent, meanToken, meanEvent, 0, 0);
    }
    long ageMillis = Math.max(0, (nowNanos - endpoint.observedNanos()) / 1_000_000);
    double share = 1;
    int limit = endpoint.limit(nowNanos);
    if (ageMillis > FRESH_MILLIS) {
      share = Math.exp((FRESH_MILLIS - ageMillis) / DRIFT_MILLIS);
      limit = (int) Math.min(endpoint.slots(), limit + ageMillis / IDLE_RAISE_MILLIS);
    }
    double eventShare = endpoint.hasEvent() ? share : 0;
    return new CapacityEstimate(
        prescribed(limit, endpoint.slots()),
        meanToken + share * (endpoint.unloadedMillisPerToken() - meanToken),
        meanEvent + eventShare * (endpoint.unloadedMillisPerEvent() - meanEvent),
        meanToken + share * (endpoint.millisPerToken() - meanToken),
        meanEvent + eventShare * (endpoint.millisPerEvent() - meanEvent),
        ageMillis,
        endpoint.observations());
  }

  private int prescribed(int learned, int slots) {
    int limit = policy.pin().isPresent() ? policy.pin().getAsInt() : learned;
    if (policy.cap().isPresent()) {
      limit = Math.min(limit, policy.cap().getAsInt());
    }
    return Math.max(1, Math.min(slots, limit));
  }

  /** Returns the mean time to the first event per prompt token over the service. */
  public double meanMillisPerToken() {
    return tokenEndpoints == 0 ? INITIAL_MILLIS_PER_TOKEN : sumMillisPerToken / tokenEndpoints;
  }

  /** Returns the mean time between two events over the service; 0 until a stream has ended. */
  public double meanMillisPerEvent() {
    return eventEndpoints == 0 ? 0 : sumMillisPerEvent / eventEndpoints;
  }

  /**
   * Returns the estimates that have changed after a version, the earliest change first. The age is
   * counted up to the latest observation of the service. The next call passes the version of the
   * last entry.
   */
  public List<ExportedEstimate> changedSince(long sinceVersion, int maxEntries) {
    List<ExportedEstimate> changed = new ArrayList<>();
    endpoints.forEach(
        (id, endpoint) -> {
          if (endpoint.version() > sinceVersion) {
            changed.add(
                new ExportedEstimate(
                    id,
                    endpoint.version(),
                    endpoint.limit(),
                    endpoint.millisPerToken(),
                    endpoint.millisPerEvent(),
                    (latestNanos - endpoint.observedNanos()) / 1_000_000,
                    endpoint.observations()));
          }
        });
    changed.sort(Comparator.comparingLong(ExportedEstimate::version));
    return List.copyOf(changed.subList(0, Math.min(maxEntries, changed.size())));
  }

  /** Takes over estimates of endpoints that have none; they are replaced by the first answers. */
  public void importIfUnknown(List<ExportedEstimate> estimates, long nowNanos) {
    for (ExportedEstimate estimate : estimates) {
      EndpointCapacity endpoint = endpoints.get(estimate.endpointId());
      boolean isUsable =
          Double.isFinite(estimate.millisPerToken())
              && Double.isFinite(estimate.millisPerEvent())
              && estimate.millisPerToken() > 0;
      if (endpoint == null || endpoint.hasToken() || !isUsable) {
        continue;
      }
      count(endpoint, -1);
      endpoint.takeOver(estimate, nowNanos);
      count(endpoint, 1);
    }
  }

  /** Returns one line per endpoint for the state dump. */
  public List<String> describe(long nowNanos) {
    List<String> lines = new ArrayList<>();
    new TreeMap<>(endpoints)
        .forEach(
            (id, endpoint) -> {
              CapacityEstimate estimate = estimate(id, nowNanos);
              lines.add(
                  String.format(
                      Locale.ROOT,
                      "%s limit=%d slots=%d unloaded_ms_per_token=%.4f unloaded_ms_per_event=%.1f"
                          + " ms_per_token=%.4f ms_per_event=%.1f age_ms=%d observations=%d",
                      id,
                      estimate.limit(),
                      endpoint.slots(),
                      estimate.unloadedMillisPerToken(),
                      estimate.unloadedMillisPerEvent(),
                      estimate.millisPerToken(),
                      estimate.millisPerEvent(),
                      estimate.ageMillis(),
                      estimate.observations()));
            });
    return lines;
  }
}
