package org.buckthornferry.util;

/** A clock whose readings never decrease. Readings of different processes are not comparable. */
@FunctionalInterface
public interface MonotonicClock {
  /** The monotonic clock of the operating system. */
  MonotonicClock SYSTEM = System::nanoTime;

  /** Returns the time since an arbitrary origin, in nanoseconds. */
  long nanoTime();
}
