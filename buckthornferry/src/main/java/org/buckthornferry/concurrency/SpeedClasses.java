package org.buckthornferry.concurrency;

import java.util.HashMap;
import java.util.Map;

/**
 * The missed goals of all endpoints of about the same speed. A slow endpoint gets too few requests
 * while others are free to learn its limit from its own answers alone.
 */
final class SpeedClasses {
  /** The ratio of the speeds of neighbouring classes. */
  private static final double CLASS_RATIO = 1.5;

  private static final double HALF_LIFE_NANOS = 30e9;

  private final Map<Key, SpeedClass> classes = new HashMap<>();

  private record Key(long speed, boolean isPlain, int slots) {}

  /** The goals of one class. */
  static final class SpeedClass {
    private final LevelCurve misses;
    private long updatedNanos;

    private SpeedClass(int slots, long nowNanos) {
      misses = EndpointCapacity.newMissCurve(slots);
      updatedNanos = nowNanos;
    }

    LevelCurve misses() {
      return misses;
    }

    void add(int level, double value, double weight, long nowNanos) {
      double elapsedNanos = Math.max(0, nowNanos - updatedNanos);
      misses.decay(Math.exp(-Math.log(2) * elapsedNanos / HALF_LIFE_NANOS));
      updatedNanos = nowNanos;
      misses.add(level, value, weight);
    }
  }

  /** Returns the class of an endpoint with the given time without load. */
  SpeedClass of(double unloadedMillis, boolean isPlain, int slots, long nowNanos) {
    long speed = Math.round(Math.log(Math.max(1e-6, unloadedMillis)) / Math.log(CLASS_RATIO));
    return classes.computeIfAbsent(
        new Key(speed, isPlain, slots), key -> new SpeedClass(slots, nowNanos));
  }
}
