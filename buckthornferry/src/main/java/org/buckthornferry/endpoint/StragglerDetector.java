package org.buckthornferry.endpoint;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Detects endpoints that are much slower than the rest of their cohort, which is the endpoints of
 * the same service, version and hardware.
 */
public final class StragglerDetector {
  /** The minimum duration of an ejection. */
  static final long MIN_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int WINDOW_SAMPLES = 20;
  private static final double SLOW_RATIO = 2;
  private static final double MAX_EJECTED_SHARE = 0.2;
  private static final int MIN_COHORT_SIZE = 3;

  private final Map<String, MedianWindow> windows = new HashMap<>();

  /** Returns how many endpoints of a service may be ejected at once. */
  public static int maxEjected(int endpoints) {
    return (int) (endpoints * MAX_EJECTED_SHARE);
  }

  /** Records the time per token of a finished request, in nanoseconds. */
  public void observe(String endpointId, double nanosPerToken) {
    windows.computeIfAbsent(endpointId, id -> new MedianWindow(WINDOW_SAMPLES)).add(nanosPerToken);
  }

  /** Removes the samples of an endpoint, so that only new ones count after its return. */
  public void forget(String endpointId) {
    windows.remove(endpointId);
  }

  /**
   * Returns the stragglers of a cohort, slowest first.
   *
   * @param cohort the endpoints of one cohort that accept new requests
   */
  public List<String> stragglers(List<String> cohort) {
    Map<String, Double> medians = new HashMap<>();
    for (String endpointId : cohort) {
      MedianWindow window = windows.get(endpointId);
      if (window != null && window.isFull()) {
        medians.put(endpointId, window.median());
      }
    }
    if (medians.size() < MIN_COHORT_SIZE) {
      return List.of();
    }
    double limit = SLOW_RATIO * lowerMedian(new ArrayList<>(medians.values()));
    List<String> slow = new ArrayList<>();
    medians.forEach(
        (endpointId, median) -> {
          if (median > limit) {
            slow.add(endpointId);
          }
        });
    slow.sort(
        Comparator.<String>comparingDouble(id -> -medians.get(id))
            .thenComparing(Comparator.naturalOrder()));
    return slow;
  }

  private static double lowerMedian(List<Double> values) {
    values.sort(Comparator.naturalOrder());
    return values.get((values.size() - 1) / 2);
  }
}
