package org.buckthornferry.scaling;

/**
 * What an instance has counted for one service since its start. Immutable.
 *
 * @param arrivals requests that arrived; a caller's retry does not count
 * @param slotMillis time for which the attempts that have ended held slots
 * @param ended attempts that held a slot and have ended
 * @param waiting requests that wait for a slot now
 * @param refused requests that were refused for lack of a slot
 */
public record DemandCounts(long arrivals, long slotMillis, long ended, long waiting, long refused) {
  /** The counts of an instance without requests. */
  public static final DemandCounts NONE = new DemandCounts(0, 0, 0, 0, 0);

  /**
   * Returns the mean demand since earlier counts. Counts that have decreased are those of a
   * restarted instance and yield 0.
   *
   * @param seconds the time since the earlier counts, positive
   */
  public DemandRate since(DemandCounts earlier, double seconds) {
    return new DemandRate(
        Math.max(0, arrivals - earlier.arrivals) / seconds,
        Math.max(0, slotMillis - earlier.slotMillis) / 1e3 / seconds,
        Math.max(0, ended - earlier.ended) / seconds,
        waiting,
        Math.max(0, refused - earlier.refused) / seconds);
  }
}
