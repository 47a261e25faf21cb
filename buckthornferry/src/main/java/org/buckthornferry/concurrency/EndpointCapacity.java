package org.buckthornferry.concurrency;

/** The observations of one endpoint, its present speed and its limit. */
final class EndpointCapacity {
  /** Half-life of the samples; a rejected limit is tried again after about three half-lives. */
  private static final double HALF_LIFE_NANOS = 6e9;

  /** Keeps some samples at endpoints that are rarely used. */
  private static final double MIN_DECAY = 0.85;

  /** The expected share of goals that each other request at the endpoint breaks. */
  private static final double EXPECTED_MISS_SLOPE = 0.02;

  /** The expected share by which each other request at the endpoint lengthens the times. */
  private static final double EXPECTED_TIME_SLOPE = 0.08;

  private static final double SPEED_WEIGHT = 0.2;

  /** Limits the effect of one answer on the mean speed; a lasting change is detected instead. */
  private static final double MAX_STEP = 2.5;

  private static final double KEPT_AFTER_CHANGE = 0.2;

  /** Times between events are means of at least this many. */
  private static final int MIN_EVENTS = 5;

  /** The value of a late answer relative to one in time, as the routes' owners state it. */
  private static final double LATE_VALUE = 0.33;

  /** The share of a good answer's value that a request is expected to bring at another endpoint. */
  private static final double ELSEWHERE_VALUE_SHARE = 0.8;

  /** A change of the limit must gain this share; less is noise. */
  private static final double MIN_GAIN = 0.05;

  /** One step upwards at a time, so that the answers at the new limit are seen before the next. */
  private static final long RAISE_INTERVAL_NANOS = 500_000_000L;

  /** How long a rejected reservation lowers the limit; about the time of one answer. */
  private static final long FULL_NANOS = 500_000_000L;

  /** The ratio of the change of a speed that is worth an export. */
  private static final double EXPORT_RATIO = 1.1;

  private int slots;
  private int limit;
  private LevelCurve tokenTimes;
  private LevelCurve eventTimes;
  private LevelCurve misses;
  private final ChangeDetector changes = new ChangeDetector();
  private double millisPerToken;
  private double millisPerEvent;
  private double unloadedMillisPerToken;
  private double unloadedMillisPerEvent;
  private double hopelessShare;
  private double tokenSamples;
  private double eventSamples;
  private long observations;
  private long observedNanos;
  private long raisedNanos;
  private int fullLimit;
  private long fullNanos;
  private boolean wasFull;
  private long version;
  private double exportedMillisPerToken;
  private int exportedLimit;

  EndpointCapacity(int slots, long nowNanos) {
    raisedNanos = nowNanos;
    setSlots(slots);
  }

  /** Sets the number of slots; samples are forgotten when it changes. */
  void setSlots(int newSlots) {
    int levels = Math.max(1, newSlots);
    if (levels == slots) {
      return;
    }
    slots = levels;
    limit = levels;
    tokenTimes = new LevelCurve(levels, 0, EXPECTED_TIME_SLOPE);
    eventTimes = new LevelCurve(levels, 0, EXPECTED_TIME_SLOPE);
    misses = new LevelCurve(levels, EXPECTED_MISS_SLOPE, 0);
  }

  /** Returns the expected duration of an answer at a concurrency; 0 if unknown. */
  double expectedMillis(int concurrency, double tokens, int events) {
    if (tokenTimes.totalWeight() < 1 || (events >= MIN_EVENTS && eventTimes.totalWeight() < 1)) {
      return 0;
    }
    int level = level(concurrency);
    double streamMillis = events < MIN_EVENTS ? 0 : eventTimes.at(level) * (events - 1);
    return tokenTimes.at(level) * tokens + streamMillis;
  }

  private int level(int concurrency) {
    return Math.max(1, Math.min(slots, concurrency));
  }

  /**
   * Adds an answer.
   *
   * @param biasFactor how many times longer than others the instance measures; at least 1
   * @param isCredible whether a missed goal may be held against the endpoint
   */
  void observe(Observation answer, double biasFactor, boolean isCredible, long nowNanos) {
    if (observations > 0) {
      double elapsedNanos = Math.max(0, nowNanos - observedNanos);
      double decay = Math.max(MIN_DECAY, Math.exp(-Math.log(2) * elapsedNanos / HALF_LIFE_NANOS));
      tokenTimes.decay(decay);
      eventTimes.decay(decay);
      misses.decay(decay);
    }
    observations++;
    observedNanos = nowNanos;
    double tokens = answer.uncachedPromptTokens() + CapacityModel.FIXED_COST_TOKENS;
    boolean hasPace = answer.events() >= MIN_EVENTS;
    double streamMillis = hasPace ? answer.streamMillis() / biasFactor : 0;
    double firstMillis = answer.firstEventMillis() / biasFactor;
    int level = level(answer.concurrency());
    double expectedMillis = expectedMillis(level, tokens, answer.events());
    if (expectedMillis > 0) {
      detectChange((firstMillis + streamMillis) / expectedMillis, nowNanos);
    }
    double perToken = bounded(firstMillis / tokens, tokenTimes, level);
    tokenTimes.add(level, perToken);
    tokenSamples++;
    millisPerToken += Math.max(SPEED_WEIGHT, 1 / tokenSamples) * (perToken - millisPerToken);
    if (hasPace) {
      double perEvent = bounded(streamMillis / (answer.events() - 1), eventTimes, level);
      eventTimes.add(level, perEvent);
      eventSamples++;
      millisPerEvent += Math.max(SPEED_WEIGHT, 1 / eventSamples) * (perEvent - millisPerEvent);
    }
    unloadedMillisPerToken = tokenTimes.at(1);
    unloadedMillisPerEvent = eventSamples > 0 ? eventTimes.at(1) : 0;
    if (isCredible) {
      observeGoals(answer, tokens, level);
    }
  }

  private static double bounded(double value, LevelCurve curve, int level) {
    if (curve.totalWeight() < 2) {
      return value;
    }
    double expected = curve.at(level);
    return Math.max(expected / MAX_STEP, Math.min(expected * MAX_STEP, value));
  }

  private void detectChange(double ratio, long nowNanos) {
    double factor = changes.add(ratio, nowNanos);
    if (factor == 1) {
      return;
    }
    tokenTimes.scale(factor);
    eventTimes.scale(factor);
    tokenTimes.decay(KEPT_AFTER_CHANGE);
    eventTimes.decay(KEPT_AFTER_CHANGE);
    misses.decay(KEPT_AFTER_CHANGE);
    // The averages have followed the last answers in part; the curves hold the whole change.
    int present = level(limit);
    millisPerToken = tokenTimes.at(present);
    millisPerEvent = eventTimes.at(present);
  }

  private void observeGoals(Observation answer, double tokens, int level) {
    boolean wouldBeGoodAlone =
        unloadedMillisPerToken * tokens <= answer.firstEventGoalMillis()
            && (answer.gapGoalMillis() <= 0 || unloadedMillisPerEvent <= answer.gapGoalMillis());
    hopelessShare += 0.1 * ((wouldBeGoodAlone ? 0 : 1) - hopelessShare);
    if (!wouldBeGoodAlone) {
      return;
    }
    boolean isGood =
        answer.firstEventMillis() <= answer.firstEventGoalMillis()
            && (answer.gapGoalMillis() <= 0 || answer.longestGapMillis() <= answer.gapGoalMillis());
    misses.add(level, isGood ? 0 : 1);
  }

  /**
   * Chooses the limit that brings the callers most in a unit of time.
   *
   * @param spareShare how far from overload the service is, from 0 to 1
   */
  void updateLimit(double meanTokens, double meanEvents, double spareShare, long nowNanos) {
    double price = ELSEWHERE_VALUE_SHARE * spareShare * value(1);
    int best = 1;
    double bestGain = -Double.MAX_VALUE;
    double presentGain = 0;
    for (int level = 1; level <= slots; level++) {
      double millis = tokenTimes.at(level) * meanTokens + eventTimes.at(level) * meanEvents;
      double gain = millis <= 0 ? 0 : level / millis * (value(level) - price);
      if (gain >= bestGain) {
        best = level;
        bestGain = gain;
      }
      if (level == limit) {
        presentGain = gain;
      }
    }
    if (best == limit || bestGain - presentGain < MIN_GAIN * Math.abs(bestGain)) {
      return;
    }
    if (best < limit) {
      limit = best;
      raisedNanos = nowNanos;
    } else if (nowNanos - raisedNanos >= RAISE_INTERVAL_NANOS) {
      limit++;
      raisedNanos = nowNanos;
    }
  }

  private double value(int level) {
    double goodShare = (1 - hopelessShare) * (1 - Math.min(1, misses.at(level)));
    return LATE_VALUE + (1 - LATE_VALUE) * goodShare;
  }

  /** Lowers the limit for a moment, because the endpoint had no free slot. */
  void onFull(int concurrency, long nowNanos) {
    fullLimit = Math.max(1, Math.min(slots, concurrency) - 1);
    fullNanos = nowNanos;
    wasFull = true;
  }

  /** Takes over an estimate; it is replaced by the first answers. */
  void takeOver(ExportedEstimate estimate, long nowNanos) {
    millisPerToken = estimate.millisPerToken();
    millisPerEvent = estimate.millisPerEvent();
    unloadedMillisPerToken = millisPerToken;
    unloadedMillisPerEvent = millisPerEvent;
    tokenSamples = 1;
    eventSamples = millisPerEvent > 0 ? 1 : 0;
    limit = level(estimate.limit());
    observedNanos = nowNanos - estimate.ageMillis() * 1_000_000L;
  }

  /** Returns whether the estimate has changed enough since the last call to be exported. */
  boolean isWorthExport() {
    double ratio = millisPerToken / exportedMillisPerToken;
    if (exportedLimit == limit && ratio < EXPORT_RATIO && ratio > 1 / EXPORT_RATIO) {
      return false;
    }
    exportedLimit = limit;
    exportedMillisPerToken = millisPerToken;
    return true;
  }

  void setVersion(long newVersion) {
    version = newVersion;
  }

  long version() {
    return version;
  }

  int slots() {
    return slots;
  }

  /** Returns the learned limit, without the effect of a rejected reservation. */
  int limit() {
    return limit;
  }

  int limit(long nowNanos) {
    return wasFull && nowNanos - fullNanos < FULL_NANOS ? Math.min(limit, fullLimit) : limit;
  }

  boolean hasToken() {
    return tokenSamples > 0;
  }

  boolean hasEvent() {
    return eventSamples > 0;
  }

  double millisPerToken() {
    return millisPerToken;
  }

  double millisPerEvent() {
    return millisPerEvent;
  }

  double unloadedMillisPerToken() {
    return unloadedMillisPerToken;
  }

  double unloadedMillisPerEvent() {
    return unloadedMillisPerEvent;
  }

  long observations() {
    return observations;
  }

  long observedNanos() {
    return observedNanos;
  }
}
