package org.buckthornferry.scaling;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;

/** The demand of the last minute, one value a second, in slots. */
final class DemandHistory {
  private static final int WINDOW_SECONDS = 60;

  /** The usual level is the median of this time, which a surge of 6 s does not move. */
  private static final int LEVEL_SECONDS = 15;

  /** The time for which capacity for the last peak is kept. */
  private static final int PEAK_SECONDS = 10;

  /** The number of multiples for which assumed surges are computed. */
  private static final int SURGE_STEPS = 8;

  private final ScalingPolicy policy;
  private final Deque<Double> newestFirst = new ArrayDeque<>();

  DemandHistory(ScalingPolicy policy) {
    this.policy = policy;
  }

  void add(double slots) {
    newestFirst.addFirst(slots);
    if (newestFirst.size() > WINDOW_SECONDS) {
      newestFirst.removeLast();
    }
  }

  /**
   * Returns the highest demand of the last seconds, in slots. It must have lasted for two seconds,
   * because reports that are late for one second add to the next.
   */
  double peakSlots() {
    double peak = 0;
    double later = 0;
    int seconds = 0;
    for (double value : newestFirst) {
      peak = Math.max(peak, Math.min(value, later));
      later = value;
      if (++seconds > PEAK_SECONDS) {
        break;
      }
    }
    return peak;
  }

  /** Returns the usual demand, in slots. */
  double levelSlots() {
    double[] recent =
        newestFirst.stream().limit(LEVEL_SECONDS).mapToDouble(value -> value).sorted().toArray();
    return recent.length == 0 ? 0 : recent[recent.length / 2];
  }

  /**
   * Returns the number of slots that demand exceeds for no more than a share of time, from the
   * measured demand and the assumed surges.
   */
  double slotsExceededFor(double share) {
    double level = levelSlots();
    int measured = newestFirst.size();
    double[][] valuesAndWeights = new double[measured + 1 + SURGE_STEPS][];
    int i = 0;
    for (Iterator<Double> values = newestFirst.iterator(); values.hasNext(); i++) {
      valuesAndWeights[i] = new double[] {values.next(), 1};
    }
    valuesAndWeights[i++] =
        new double[] {level, policy.assumedSeconds() * (1 - policy.surgeShare())};
    double stepFactor = (policy.maxSurgeFactor() - policy.minSurgeFactor()) / SURGE_STEPS;
    for (int step = 0; step < SURGE_STEPS; step++) {
      double factor = policy.minSurgeFactor() + (step + 0.5) * stepFactor;
      valuesAndWeights[i++] =
          new double[] {
            level * factor, policy.assumedSeconds() * policy.surgeShare() / SURGE_STEPS
          };
    }
    Arrays.sort(valuesAndWeights, (a, b) -> Double.compare(b[0], a[0]));
    double allowed = share * (measured + policy.assumedSeconds());
    double above = 0;
    for (double[] value : valuesAndWeights) {
      above += value[1];
      if (above > allowed) {
        return value[0];
      }
    }
    return 0;
  }
}
