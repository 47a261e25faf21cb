package org.buckthornferry.dispatch;

/** A moving estimate of an endpoint's speed from the times of its answers. */
final class SpeedEstimate {
  /**
   * The fixed part of the time to the first event, expressed in prompt tokens. The start of an
   * engine step and the network round trip take about as long as reading this many tokens.
   */
  static final double FIXED_COST_TOKENS = 800;

  /** The weight of a new sample in the moving average; about ten answers determine it. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** The minimum length of a stream that counts as a sample of the time between events. */
  private static final int MIN_STREAM_EVENTS = 5;

  /**
   * The weight of the mean of all endpoints, in samples of the endpoint's own. The time of a single
   * answer varies by half with the other load of the engine; an endpoint that is several times
   * slower than others still stands out.
   */
  private static final double PRIOR_SAMPLES = 2;

  /** The number of samples; the first ones have more weight, so that a few answers suffice. */
  private int samples;

  private double millisPerToken;
  private int streams;
  private double millisPerEvent;

  /** Adds a sample of the time from sending a request to its first event. */
  void onFirstEvent(long promptTokens, double millis) {
    double sample = millis / (promptTokens + FIXED_COST_TOKENS);
    samples++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
    millisPerToken += weight * (sample - millisPerToken);
  }

  /** Adds a sample of the time from the first to the last event of a stream. */
  void onStream(int events, double millis) {
    if (events < MIN_STREAM_EVENTS) {
      return;
    }
    streams++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / streams);
    millisPerEvent += weight * (millis / (events - 1) - millisPerEvent);
  }

  /** Returns the expected time between two events; 0 until a stream has ended. */
  double millisPerEvent() {
    return millisPerEvent;
  }

  boolean isKnown() {
    return samples > 0;
  }

  double millisPerToken() {
    return millisPerToken;
  }

  /** Returns the expected time per prompt token, given the mean of all endpoints. */
  double expectedMillisPerToken(double meanMillisPerToken) {
    return (samples * millisPerToken + PRIOR_SAMPLES * meanMillisPerToken)
        / (samples + PRIOR_SAMPLES);
  }

  /** Returns the expected time to the first event, whatever the current load. */
  double expectedFirstEventMillis(double uncachedTokens, double meanMillisPerToken) {
    return expectedMillisPerToken(meanMillisPerToken) * (uncachedTokens + FIXED_COST_TOKENS);
  }
}
