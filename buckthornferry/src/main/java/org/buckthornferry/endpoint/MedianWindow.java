package org.buckthornferry.endpoint;

import java.util.Arrays;

/** A sliding window of the latest samples and their median. */
final class MedianWindow {
  private final double[] samples;
  private int count;
  private int next;

  MedianWindow(int size) {
    samples = new double[size];
  }

  void add(double sample) {
    samples[next] = sample;
    next = (next + 1) % samples.length;
    count = Math.min(count + 1, samples.length);
  }

  int count() {
    return count;
  }

  boolean isFull() {
    return count == samples.length;
  }

  void clear() {
    count = 0;
    next = 0;
  }

  /** Returns the median, or 0 when there is no sample. */
  double median() {
    if (count == 0) {
      return 0;
    }
    double[] sorted = Arrays.copyOf(samples, count);
    Arrays.sort(sorted);
    return sorted[count / 2];
  }
}
