package org.buckthornferry.scaling;

/**
 * The demand for a service in one failure domain. Immutable.
 *
 * @param arrivalsPerSecond requests that arrive; a caller's retry does not count
 * @param endedSlotSeconds slot time of the attempts that end in a second, in seconds
 * @param endedPerSecond attempts that end
 * @param waiting requests that wait for a slot now
 * @param refusedPerSecond requests that are refused for lack of a slot
 */
public record DemandRate(
    double arrivalsPerSecond,
    double endedSlotSeconds,
    double endedPerSecond,
    double waiting,
    double refusedPerSecond) {
  /** No demand. */
  public static final DemandRate NONE = new DemandRate(0, 0, 0, 0, 0);

  /** Returns the sum of two demands. */
  public DemandRate plus(DemandRate other) {
    return new DemandRate(
        arrivalsPerSecond + other.arrivalsPerSecond,
        endedSlotSeconds + other.endedSlotSeconds,
        endedPerSecond + other.endedPerSecond,
        waiting + other.waiting,
        refusedPerSecond + other.refusedPerSecond);
  }
}
