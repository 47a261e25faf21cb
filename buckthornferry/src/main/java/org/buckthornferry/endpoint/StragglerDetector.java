package org.buckthornferry.endpoint;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Finds endpoints that are much slower than others of their kind: the same service, version and
 * hardware.
 */
public final class StragglerDetector {
  /** How long an ejected endpoint stays out at least. */
  static final long EJECT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final int SAMPLES = 20;
  private static final double SLOW_RATIO = 2;
  private static final double MAX_EJECTED_SHARE = 0.2;
  private static final int MIN_KIND_SIZE = 3;

  private final Map<String, MedianWindow> windows = new HashMap<>();

  /** Returns how many endpoints of a service may be out at once. */
  public static int maxEjected(int endpoints) {
    return (int) (endpoints * MAX_EJECTED_SHARE);
  }

  /** Records the time per token of a finished request, in nanoseconds. */
  public void observe(String endpointId, double nanosPerToken) {
    windows.computeIfAbsent(endpointId, id -> new MedianWindow(SAMPLES)).add(nanosPerToken);
  }

  /** Forgets the samples of an endpoint, so that it is judged by new ones after its return. */
  public void forget(String endpointId) {
    windows.remove(endpointId);
  }

  /**
   * Returns the endpoints of one kind that are stragglers, slowest first.
   *
   * @param kind the endpoints of one kind that take work
   */
  public List<String> stragglers(List<String> kind) {
    Map<String, Double> medians = new HashMap<>();
    for (String endpointId : kind) {
      MedianWindow window = windows.get(endpointId);
      if (window != null && window.isFull()) {
        medians.put(endpointId, window.median());
      }
    }
    if (medians.size() < MIN_KIND_SIZE) {
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
