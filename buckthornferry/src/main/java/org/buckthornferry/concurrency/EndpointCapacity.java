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
  private static final double ELSEWHERE_VALUE_SHARE = 0.9;

  /** A change of the limit must gain this share; less is noise. */
  private static final double MIN_GAIN = 0.05;

  /** One step upwards at a time, so that the answers at the new limit are seen before the next. */
  private static final long RAISE_INTERVAL_NANOS = 500_000_000L;

  /** Longer than the disturbances of 600 ms that are seen on shared hardware. */
  private static final long LOWER_DELAY_NANOS = 700_000_000L;

  /** How long a rejected reservation lowers the limit; about the time of one answer. */
  private static final long FULL_NANOS = 500_000_000L;

  /** The ratio of the change of a speed that is worth an export. */
  private static final double EXPORT_RATIO = 1.1;

  private static final double SHARE_WEIGHT = 0.1;
  private static final double ALONE_SAMPLE_WEIGHT = 0.25;
  private static final double FULL_SAMPLE_WEIGHT = 0.2;

  /**
   * The weight of the assumption that a single request misses as many goals as the last ones that
   * ran alone, in samples; without it, an endpoint that is always full seems to miss its goals at
   * any concurrency.
   */
  private static final double ALONE_WEIGHT = 2;

  /** The smallest weight of an answer's goals; the largest is its reciprocal. */
  private static final double MIN_MISS_WEIGHT = 0.2;

  /** The number of ended answers whose concurrency is remembered. */
  private static final int RECENT = 16;

  /**
   * An endpoint that is always full shows nothing about fewer requests at a time; so its limit is
   * lowered for a moment, at first soon and then less often while nothing is gained by it: to half
   * if many goals are missed, else by one.
   */
  private static final long MIN_PROBE_INTERVAL_NANOS = 4_000_000_000L;

  /**
   * The share of missed goals from which on a probe is urgent. Disturbances that slow 15% of the
   * endpoints at a time break the goals of up to a quarter of the answers, at any concurrency.
   */
  private static final double URGENT_MISSED_SHARE = 0.35;

  /** The share of requests sent at the limit from which on fewer are a rare sight. */
  private static final double ALWAYS_FULL_SHARE = 0.5;

  private static final long MAX_PROBE_INTERVAL_NANOS = 64_000_000_000L;

  /** The number of answers at the lower concurrency that end a probe. */
  private static final int PROBE_ANSWERS = 3;

  /** The pause after a probe relative to its length, which bounds its cost. */
  private static final long PROBE_PAUSE_RATIO = 15;

  /** The longest duration of a probe, in mean answers. */
  private static final double MAX_PROBE_DURATIONS = 3;

  /** An endpoint without an answer for so many mean answers has free slots. */
  private static final double IDLE_DURATIONS = 4;

  private static final double MIN_IDLE_MILLIS = 5_000;

  /** The number of samples at lower concurrency that make a probe unnecessary. */
  private static final double KNOWN_SAMPLES = 2;

  private final SpeedClasses classes;
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
  private long lowerSinceNanos;
  private final Recent[] recent = new Recent[RECENT];
  private int recentIndex;
  private double fullShare = 1;
  private long fullSamples;
  private long limitNanos;
  private double missedShare;
  private double aloneMissedShare;
  private int probeLimit;
  private long probeNanos;
  private long nextProbeNanos;
  private long probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
  private int probeAnswers;
  private double meanDurationMillis;
  private int fullLimit;
  private long fullNanos;
  private boolean wasFull;
  private long version;
  private double exportedMillisPerToken;
  private int exportedLimit;

  /** An answer that has ended; requests that end after it tell more about its concurrency. */
  private static final class Recent {
    private final int atStart;
    private final long sentNanos;
    private final long endNanos;
    private int level;
    private double missValue;
    private double missWeight;
    private SpeedClasses.SpeedClass speedClass;

    Recent(int atStart, int level, long sentNanos, long endNanos) {
      this.atStart = atStart;
      this.level = level;
      this.sentNanos = sentNanos;
      this.endNanos = endNanos;
    }
  }

  EndpointCapacity(SpeedClasses classes, int slots, long nowNanos) {
    this.classes = classes;
    raisedNanos = nowNanos;
    lowerSinceNanos = nowNanos;
    nextProbeNanos = nowNanos + MIN_PROBE_INTERVAL_NANOS / 2;
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
    tokenTimes = new LevelCurve(levels, 0, EXPECTED_TIME_SLOPE, 0);
    eventTimes = new LevelCurve(levels, 0, EXPECTED_TIME_SLOPE, 0);
    misses = newMissCurve(levels);
  }

  static LevelCurve newMissCurve(int levels) {
    return new LevelCurve(levels, EXPECTED_MISS_SLOPE, 0, ALONE_WEIGHT);
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
    double durationMillis = answer.firstEventMillis() + answer.streamMillis();
    long sentNanos = nowNanos - (long) (durationMillis * 1e6);
    meanDurationMillis += Math.max(0.1, 1.0 / observations) * (durationMillis - meanDurationMillis);
    int level = highestConcurrency(level(answer.concurrency()), sentNanos);
    countProbe(level, sentNanos);
    double expectedMillis = expectedMillis(level, tokens, answer.events());
    if (expectedMillis > 0) {
      detectChange((firstMillis + streamMillis) / expectedMillis, nowNanos);
    }
    double perToken = bounded(firstMillis / tokens, tokenTimes, level);
    tokenTimes.add(level, perToken, 1);
    tokenSamples++;
    millisPerToken += Math.max(SPEED_WEIGHT, 1 / tokenSamples) * (perToken - millisPerToken);
    if (hasPace) {
      double perEvent = bounded(streamMillis / (answer.events() - 1), eventTimes, level);
      eventTimes.add(level, perEvent, 1);
      eventSamples++;
      millisPerEvent += Math.max(SPEED_WEIGHT, 1 / eventSamples) * (perEvent - millisPerEvent);
    }
    unloadedMillisPerToken = tokenTimes.at(1);
    unloadedMillisPerEvent = eventSamples > 0 ? eventTimes.at(1) : 0;
    Recent ended = new Recent(level(answer.concurrency()), level, sentNanos, nowNanos);
    recent[recentIndex] = ended;
    recentIndex = (recentIndex + 1) % RECENT;
    // The first requests find free slots in any case.
    if (observations > slots && sentNanos - limitNanos >= 0) {
      boolean isFull = answer.concurrency() >= limit(nowNanos);
      fullSamples++;
      fullShare += Math.max(FULL_SAMPLE_WEIGHT, 1.0 / fullSamples) * ((isFull ? 1 : 0) - fullShare);
    }
    if (isCredible) {
      observeGoals(answer, tokens, durationMillis, ended);
    }
  }

  /**
   * Returns the highest concurrency during an answer: requests that are sent later delay it as much
   * as those that ran before. Corrects ended answers in turn.
   */
  private int highestConcurrency(int atStart, long sentNanos) {
    int highest = atStart;
    for (Recent other : recent) {
      if (other == null) {
        continue;
      }
      if (other.atStart > highest && other.sentNanos - sentNanos > 0) {
        highest = other.atStart;
      }
      boolean joined = sentNanos - other.sentNanos > 0 && sentNanos - other.endNanos < 0;
      if (joined && other.level < atStart) {
        if (other.speedClass != null) {
          misses.move(other.level, atStart, other.missValue, other.missWeight);
          LevelCurve pooled = other.speedClass.misses();
          pooled.move(other.level, atStart, other.missValue, other.missWeight);
        }
        other.level = atStart;
      }
    }
    return highest;
  }

  private void countProbe(int level, long sentNanos) {
    if (probeLimit > 0 && level <= probeLimit && sentNanos - probeNanos >= 0) {
      probeAnswers++;
    }
  }

  private boolean isProbing(long nowNanos) {
    return probeLimit > 0
        && probeAnswers < PROBE_ANSWERS
        && nowNanos - probeNanos < MAX_PROBE_DURATIONS * meanDurationMillis * 1e6;
  }

  /** Starts or ends a probe of a lower concurrency. */
  private void updateProbe(long nowNanos) {
    if (probeLimit > 0) {
      if (!isProbing(nowNanos)) {
        probeLimit = 0;
        limitNanos = nowNanos;
        long lengthNanos = nowNanos - probeNanos;
        nextProbeNanos = nowNanos + Math.max(probeIntervalNanos, PROBE_PAUSE_RATIO * lengthNanos);
        probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * probeIntervalNanos);
      }
      return;
    }
    boolean isUrgent = missedShare >= URGENT_MISSED_SHARE;
    long dueNanos = isUrgent ? nextProbeNanos : nextProbeNanos + MAX_PROBE_INTERVAL_NANOS;
    if (limit == 1 || nowNanos - dueNanos < 0 || fullShare < ALWAYS_FULL_SHARE) {
      return;
    }
    int lower = isUrgent ? limit / 2 : limit - 1;
    double known = 0;
    for (int level = 1; level <= lower; level++) {
      known += tokenTimes.weight(level);
    }
    if (known < KNOWN_SAMPLES) {
      probeLimit = lower;
      probeNanos = nowNanos;
      limitNanos = nowNanos;
      probeAnswers = 0;
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
    aloneMissedShare = 0;
    misses.setAnchor(0);
    if (factor > 1) {
      probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
      nextProbeNanos = Math.min(nextProbeNanos, nowNanos + MIN_PROBE_INTERVAL_NANOS);
    }
    // The averages have followed the last answers in part; the curves hold the whole change.
    int present = level(limit);
    millisPerToken = tokenTimes.at(present);
    millisPerEvent = eventTimes.at(present);
  }

  private void observeGoals(
      Observation answer, double tokens, double durationMillis, Recent ended) {
    boolean isGood =
        answer.firstEventMillis() <= answer.firstEventGoalMillis()
            && (answer.gapGoalMillis() <= 0 || answer.longestGapMillis() <= answer.gapGoalMillis());
    boolean isLateAtStart =
        tokenTimes.at(ended.level) * tokens > answer.firstEventGoalMillis()
            && answer.longestGapMillis() <= answer.gapGoalMillis();
    if (!isLateAtStart) {
      missedShare += SHARE_WEIGHT * ((isGood ? 0 : 1) - missedShare);
    }
    boolean wouldBeGoodAlone =
        unloadedMillisPerToken * tokens <= answer.firstEventGoalMillis()
            && (answer.gapGoalMillis() <= 0 || unloadedMillisPerEvent <= answer.gapGoalMillis());
    hopelessShare += SHARE_WEIGHT * ((wouldBeGoodAlone ? 0 : 1) - hopelessShare);
    if (!wouldBeGoodAlone) {
      return;
    }
    // Long answers miss more often, and short ones end first after a change of the limit; so misses
    // are counted per duration.
    double relativeDuration = durationMillis / Math.max(1, meanDurationMillis);
    ended.missWeight = Math.max(MIN_MISS_WEIGHT, Math.min(1 / MIN_MISS_WEIGHT, relativeDuration));
    ended.missValue = isGood ? 0 : 1 / ended.missWeight;
    boolean wasAlone = limit == 1 && ended.sentNanos - limitNanos >= 0;
    if (wasAlone) {
      aloneMissedShare += ALONE_SAMPLE_WEIGHT * ((isGood ? 0 : 1) - aloneMissedShare);
      misses.setAnchor(aloneMissedShare);
    }
    boolean isPlain = eventSamples == 0;
    ended.speedClass =
        classes.of(
            isPlain ? unloadedMillisPerToken : unloadedMillisPerEvent,
            isPlain,
            slots,
            ended.endNanos);
    ended.speedClass.add(ended.level, ended.missValue, ended.missWeight, ended.endNanos);
    misses.setPooled(ended.speedClass.misses());
    misses.add(ended.level, ended.missValue, ended.missWeight);
  }

  /** Chooses the limit that brings the callers most in a unit of time. */
  void updateLimit(ServiceLoad load, long nowNanos) {
    updateProbe(nowNanos);
    if (probeLimit > 0) {
      return;
    }
    // Where single requests miss the goals, fewer requests at a time help nobody.
    double price = ELSEWHERE_VALUE_SHARE * load.spareShare() * value(1) * goodShare(1);
    int best = 1;
    double bestGain = -Double.MAX_VALUE;
    double presentGain = 0;
    for (int level = 1; level <= slots; level++) {
      double millis =
          tokenTimes.at(level) * load.meanTokens() + eventTimes.at(level) * load.meanEvents();
      double gain = millis <= 0 ? 0 : level / millis * (value(level) - price);
      if (gain >= bestGain) {
        best = level;
        bestGain = gain;
      }
      if (level == limit) {
        presentGain = gain;
      }
    }
    boolean isLower = best < limit && bestGain - presentGain >= MIN_GAIN * Math.abs(bestGain);
    if (!isLower) {
      lowerSinceNanos = nowNanos;
    }
    if (isLower && nowNanos - lowerSinceNanos >= LOWER_DELAY_NANOS) {
      probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
      setLimit(best, nowNanos);
    } else if (best > limit
        && bestGain - presentGain >= MIN_GAIN * Math.abs(bestGain)
        && nowNanos - raisedNanos >= RAISE_INTERVAL_NANOS) {
      setLimit(limit + 1, nowNanos);
    }
  }

  private void setLimit(int newLimit, long nowNanos) {
    limit = newLimit;
    raisedNanos = nowNanos;
    limitNanos = nowNanos;
    lowerSinceNanos = nowNanos;
  }

  private double value(int level) {
    return LATE_VALUE + (1 - LATE_VALUE) * goodShare(level);
  }

  private double goodShare(int level) {
    return (1 - hopelessShare) * (1 - Math.min(1, misses.at(level)));
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

  /** Returns the share of the last requests that were sent at the limit; 0 if it is idle. */
  double fullShare(long nowNanos) {
    double idleMillis = (nowNanos - observedNanos) / 1e6;
    return idleMillis > Math.max(MIN_IDLE_MILLIS, IDLE_DURATIONS * meanDurationMillis)
        ? 0
        : fullShare;
  }

  /** Returns the learned limit, without the effect of a rejected reservation. */
  int limit() {
    return limit;
  }

  int limit(long nowNanos) {
    int present = isProbing(nowNanos) ? Math.min(limit, probeLimit) : limit;
    return wasFull && nowNanos - fullNanos < FULL_NANOS ? Math.min(present, fullLimit) : present;
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
