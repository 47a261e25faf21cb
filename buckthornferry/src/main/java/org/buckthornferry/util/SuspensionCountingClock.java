package org.buckthornferry.util;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that also counts the time during which the process was suspended, which the
 * operating system's monotonic clock leaves out. The length of a suspension is taken from the wall
 * clock. A forward step of the wall clock is counted as a suspension too, which makes ages too
 * long, never too short. Used by one thread.
 */
public final class SuspensionCountingClock implements MonotonicClock {
  /** Smaller differences come from the delay between the two readings or wall clock corrections. */
  private static final long MIN_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final MonotonicClock monotonic;
  private final LongSupplier wallClockMillis;
  private long lastMonotonicNanos;
  private long lastWallClockMillis;
  private long suspendedNanos;

  /** Creates a clock from the monotonic clock and the wall clock of the operating system. */
  public SuspensionCountingClock(MonotonicClock monotonic, LongSupplier wallClockMillis) {
    this.monotonic = monotonic;
    this.wallClockMillis = wallClockMillis;
    this.lastMonotonicNanos = monotonic.nanoTime();
    this.lastWallClockMillis = wallClockMillis.getAsLong();
  }

  @Override
  public long nanoTime() {
    long nowNanos = monotonic.nanoTime();
    long nowMillis = wallClockMillis.getAsLong();
    long missedNanos =
        TimeUnit.MILLISECONDS.toNanos(nowMillis - lastWallClockMillis)
            - (nowNanos - lastMonotonicNanos);
    if (missedNanos > MIN_SUSPENSION_NANOS) {
      suspendedNanos += missedNanos;
    }
    lastMonotonicNanos = nowNanos;
    lastWallClockMillis = nowMillis;
    return nowNanos + suspendedNanos;
  }
}
