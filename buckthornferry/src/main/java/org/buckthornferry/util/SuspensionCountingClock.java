package org.buckthornferry.util;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A steady clock that also counts the time during which the process was suspended, which the
 * operating system's steady clock leaves out. The time of day tells how long that was; a step
 * forward of the time of day looks the same, so that things seem older than they are, never
 * younger. Used by one thread.
 */
public final class SuspensionCountingClock implements MonotonicClock {
  /** Smaller differences are readings a moment apart or corrections of the time of day. */
  private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final MonotonicClock steady;
  private final LongSupplier timeOfDayMillis;
  private long lastSteadyNanos;
  private long lastTimeOfDayMillis;
  private long suspendedNanos;

  /** Creates a clock over the two clocks of the operating system. */
  public SuspensionCountingClock(MonotonicClock steady, LongSupplier timeOfDayMillis) {
    this.steady = steady;
    this.timeOfDayMillis = timeOfDayMillis;
    this.lastSteadyNanos = steady.nanoTime();
    this.lastTimeOfDayMillis = timeOfDayMillis.getAsLong();
  }

  @Override
  public long nanoTime() {
    long nowNanos = steady.nanoTime();
    long nowMillis = timeOfDayMillis.getAsLong();
    long missedNanos =
        TimeUnit.MILLISECONDS.toNanos(nowMillis - lastTimeOfDayMillis)
            - (nowNanos - lastSteadyNanos);
    if (missedNanos > MIN_SUSPENSION_NANOS) {
      suspendedNanos += missedNanos;
    }
    lastSteadyNanos = nowNanos;
    lastTimeOfDayMillis = nowMillis;
    return nowNanos + suspendedNanos;
  }
}
