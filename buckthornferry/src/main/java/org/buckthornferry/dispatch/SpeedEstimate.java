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

  /** The first samples weigh more, so that one answer is enough to tell fast from slow. */
  private int samples;

  private double millisPerToken;

  /** Adds the time from the dispatch of a request to its first event. */
  void onFirstEvent(long promptTokens, double millis) {
    double sample = millis / (promptTokens + FIXED_TOKENS);
    samples++;
    double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
    millisPerToken += weight * (sample - millisPerToken);
  }

  boolean isKnown() {
    return samples > 0;
  }

  double millisPerToken() {
    return millisPerToken;
  }

  /** Returns the expected time to the first event when nothing else is known. */
  double expectedFirstMillis(long promptTokens, double defaultMillisPerToken) {
    double each = isKnown() ? millisPerToken : defaultMillisPerToken;
    return each * (promptTokens + FIXED_TOKENS);
  }
}
