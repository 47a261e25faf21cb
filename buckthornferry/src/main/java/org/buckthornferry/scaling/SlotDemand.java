package org.buckthornferry.scaling;

/**
 * Estimates the number of slots that the arriving requests of a service need. While slots are
 * short, the busy ones show only what is served, so arrivals are multiplied by the mean slot time.
 */
final class SlotDemand {
  /** The time over which the mean slot time is taken, in seconds; covers hundreds of requests. */
  private static final double MEAN_SECONDS = 10;

  /** The number of ended attempts from which their mean slot time is used. */
  private static final double MIN_ENDED = 20;

  /**
   * The time after which an estimate from fewer attempts is used, in seconds, so that a service
   * with few requests is reduced to its minimum.
   */
  private static final int MAX_UNKNOWN_SECONDS = 30;

  /** Time in which waiting requests are to be served, in seconds; most callers wait that long. */
  private static final double BACKLOG_SECONDS = 8;

  private double slotSeconds;
  private double ended;
  private int observedSeconds;

  /** Adds the demand of one second in one failure domain. */
  void add(DemandRate demand) {
    slotSeconds += demand.endedSlotSeconds();
    ended += demand.endedPerSecond();
  }

  /** Ends a second. */
  void advance() {
    observedSeconds++;
    double keep = 1 - 1 / MEAN_SECONDS;
    slotSeconds *= keep;
    ended *= keep;
  }

  /** Returns whether there is an estimate. */
  boolean isKnown() {
    return ended >= MIN_ENDED || observedSeconds > MAX_UNKNOWN_SECONDS;
  }

  /** Returns the number of slots that a demand needs; 0 while it is not known. */
  double slots(DemandRate demand) {
    if (!isKnown() || ended == 0) {
      return 0;
    }
    return slotSeconds / ended * (demand.arrivalsPerSecond() + demand.waiting() / BACKLOG_SECONDS);
  }
}
