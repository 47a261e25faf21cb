package org.buckthornferry.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the lengths of a service's answers: the number of events per expected token, and which
 * answers are long for their route. Answer lengths vary far more than prompt lengths: a fifth of
 * the requests often needs two thirds of the slot time.
 */
public final class AnswerLengths {
  /** A request is long when its expected answer exceeds the mean of its route by this factor. */
  private static final double LONG_FACTOR = 1.5;

  /** The weight of a new sample in a moving mean; about fifty requests determine it. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** The minimum number of requests of a route before any of them counts as long. */
  private static final int MIN_SAMPLES = 20;

  private static final class Mean {
    private double value;
    private int samples;

    private void add(double sample) {
      samples++;
      value += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - value);
    }
  }

  private final Map<String, Mean> expectedByRoute = new HashMap<>();
  private final Mean tokens = new Mean();
  private final Mean events = new Mean();

  /** Adds a request and returns whether its answer is expected to be long for its route. */
  public boolean isLong(String routeName, long expectedTokens) {
    if (expectedTokens <= 0) {
      return false;
    }
    Mean mean = expectedByRoute.computeIfAbsent(routeName, name -> new Mean());
    boolean isLong = mean.samples >= MIN_SAMPLES && expectedTokens > LONG_FACTOR * mean.value;
    mean.add((double) expectedTokens);
    return isLong;
  }

  /** Adds a complete answer. */
  public void onAnswer(long expectedTokens, int answerEvents) {
    if (expectedTokens > 0) {
      tokens.add((double) expectedTokens);
      events.add(answerEvents);
    }
  }

  /** Returns the expected number of events; 0 when unknown. */
  public double expectedEvents(long expectedTokens) {
    return tokens.value <= 0 ? 0 : expectedTokens * events.value / tokens.value;
  }
}
