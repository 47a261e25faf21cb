package org.buckthornferry.dispatch;

/** What the answers of an endpoint show about its speed. */
final class SpeedEstimate {
  /**
   * The fixed part of the time to the first event, expressed in prompt tokens; start of a step and
   * the way there and back take about as long as reading this many tokens.
   */
  static final double FIXED_TOKENS = 800;

  /** The weight of a new sample; about ten answers decide. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Shorter streams say little about the pace. */
  private static final int MIN_STREAM_EVENTS = 5;

  /**
   * How many answers the mean of all endpoints counts for beside the endpoint's own. The time of a
   * single answer varies by half with what else the engine does; an endpoint that is several times
   * slower than others is told apart all the same.
   */
  private static final double COMMON_SAMPLES = 2;

  /** The first samples weigh more, so that a few answers are enough. */
  private int samples;

  private double millisPerToken;
  private int streams;
  private double millisPerEvent;

  /** Adds the time from the dispatch of a request to its first event. */
  void onFirstEvent(long promptTokens, double millis) {
    double sample = millis / (promptTokens + FIXED_TOKENS);
    samples++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
    millisPerToken += weight * (sample - millisPerToken);
  }

  /** Adds the time from the first to the last event of a stream. */
  void onStream(int events, double millis) {
    if (events < MIN_STREAM_EVENTS) {
      return;
    }
    streams++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / streams);
    millisPerEvent += weight * (millis / (events - 1) - millisPerEvent);
  }

  /** Returns the expected time between two events; 0 when no stream has ended yet. */
  double millisPerEvent() {
    return millisPerEvent;
  }

  boolean isKnown() {
    return samples > 0;
  }

  double millisPerToken() {
    return millisPerToken;
  }

  /** Returns the expected time for a prompt token, given the mean of all endpoints. */
  double expectedMillisPerToken(double commonMillisPerToken) {
    return (samples * millisPerToken + COMMON_SAMPLES * commonMillisPerToken)
        / (samples + COMMON_SAMPLES);
  }

  /** Returns the expected time to the first event when nothing else is known. */
  double expectedFirstMillis(double tokensToRead, double commonMillisPerToken) {
    return expectedMillisPerToken(commonMillisPerToken) * (tokensToRead + FIXED_TOKENS);
  }
}
