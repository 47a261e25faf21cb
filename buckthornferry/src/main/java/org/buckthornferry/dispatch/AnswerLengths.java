package org.buckthornferry.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known about the length of a service's answers: how many events a token makes, and which
 * answers are long for their kind. The lengths of answers differ by far more than those of prompts:
 * a fifth of the requests often needs two thirds of the slots' time.
 */
final class AnswerLengths {
  /** A request is long when it expects this many times the mean of its kind. */
  private static final double LONG_FACTOR = 1.5;

  /** The weight of a new sample in the mean of a kind; some fifty requests decide. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** No request counts as long before this many of its kind were seen. */
  private static final int MIN_SAMPLES = 20;

  private static final class Mean {
    private double value;
    private int samples;

    private void add(double sample) {
      samples++;
      value += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - value);
    }
  }

  private final Map<String, Mean> expectedByKind = new HashMap<>();
  private final Mean tokens = new Mean();
  private final Mean events = new Mean();

  /** Counts a request and returns whether its answer is expected to be long for its kind. */
  boolean isLong(String routeName, long expectedTokens) {
    if (expectedTokens <= 0) {
      return false;
    }
    Mean mean = expectedByKind.computeIfAbsent(routeName, name -> new Mean());
    boolean isLong = mean.samples >= MIN_SAMPLES && expectedTokens > LONG_FACTOR * mean.value;
    mean.add((double) expectedTokens);
    return isLong;
  }

  /** Counts an answer that has ended. */
  void onAnswer(long expectedTokens, int answerEvents) {
    if (expectedTokens > 0) {
      tokens.add((double) expectedTokens);
      events.add(answerEvents);
    }
  }

  /** Returns the expected number of events; 0 when nothing is known. */
  double expectedEvents(long expectedTokens) {
    return tokens.value <= 0 ? 0 : expectedTokens * events.value / tokens.value;
  }
}
