package org.buckthornferry.concurrency;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Learns the estimates of the endpoints of one service. */
public final class CapacityModel {
  /** The fixed part of the time to the first event, expressed in prompt tokens. */
  public static final double FIXED_COST_TOKENS = 800;

  /** The time per prompt token that is assumed until the first answer, in milliseconds. */
  private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;

  private static final double SAMPLE_WEIGHT = 0.2;
  private static final double PRIOR_SAMPLES = 1;

  private final LimitPolicy policy;
  private final Map<String, Entry> entries = new HashMap<>();
  private double meanMillisPerToken;
  private double meanMillisPerEvent;

  private static final class Entry {
    private int slots;
    private long tokenSamples;
    private double millisPerToken;
    private long eventSamples;
    private double millisPerEvent;
    private long observedNanos;
  }

  /** Creates a model without endpoints. */
  public CapacityModel(LimitPolicy policy) {
    this.policy = policy;
  }

  /** Sets the endpoints and their numbers of slots. */
  public void setEndpoints(Map<String, Integer> slotsById) {
    entries.keySet().retainAll(slotsById.keySet());
    slotsById.forEach((id, slots) -> entries.computeIfAbsent(id, key -> new Entry()).slots = slots);
  }

  /** Adds the times of an answer. */
  public void observe(String endpointId, Observation observation, long nowNanos) {
    Entry entry = entries.get(endpointId);
    if (entry == null) {
      return;
    }
    entry.observedNanos = nowNanos;
    double perToken =
        observation.firstEventMillis() / (observation.uncachedPromptTokens() + FIXED_COST_TOKENS);
    entry.tokenSamples++;
    entry.millisPerToken +=
        Math.max(SAMPLE_WEIGHT, 1.0 / entry.tokenSamples) * (perToken - entry.millisPerToken);
    if (observation.events() > 4) {
      double perEvent = observation.streamMillis() / (observation.events() - 1);
      entry.eventSamples++;
      entry.millisPerEvent +=
          Math.max(SAMPLE_WEIGHT, 1.0 / entry.eventSamples) * (perEvent - entry.millisPerEvent);
    }
    updateMeans();
  }

  private void updateMeans() {
    double tokenSum = 0;
    int tokenCount = 0;
    double eventSum = 0;
    int eventCount = 0;
    for (Entry entry : entries.values()) {
      if (entry.tokenSamples > 0) {
        tokenSum += entry.millisPerToken;
        tokenCount++;
      }
      if (entry.eventSamples > 0) {
        eventSum += entry.millisPerEvent;
        eventCount++;
      }
    }
    meanMillisPerToken = tokenCount == 0 ? 0 : tokenSum / tokenCount;
    meanMillisPerEvent = eventCount == 0 ? 0 : eventSum / eventCount;
  }

  /** Records that an endpoint had no free slot. */
  public void onFull(String endpointId, int concurrency, long nowNanos) {}

  /** Returns what is known about an endpoint. */
  public CapacityEstimate estimate(String endpointId, long nowNanos) {
    Entry entry = entries.getOrDefault(endpointId, new Entry());
    double perToken =
        (entry.tokenSamples * entry.millisPerToken + PRIOR_SAMPLES * meanMillisPerToken())
            / (entry.tokenSamples + PRIOR_SAMPLES);
    double perEvent =
        entry.eventSamples == 0
            ? meanMillisPerEvent()
            : (entry.eventSamples * entry.millisPerEvent + PRIOR_SAMPLES * meanMillisPerEvent())
                / (entry.eventSamples + PRIOR_SAMPLES);
    int limit = Math.min(policy.pin().orElse(entry.slots), policy.cap().orElse(entry.slots));
    return new CapacityEstimate(
        Math.max(1, limit),
        perToken,
        perEvent,
        perToken,
        perEvent,
        TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.observedNanos),
        entry.tokenSamples);
  }

  /** Returns the mean time to the first event per prompt token over the service. */
  public double meanMillisPerToken() {
    return meanMillisPerToken > 0 ? meanMillisPerToken : INITIAL_MILLIS_PER_TOKEN;
  }

  /** Returns the mean time between two events over the service; 0 until a stream has ended. */
  public double meanMillisPerEvent() {
    return meanMillisPerEvent;
  }
}
