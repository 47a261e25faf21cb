package org.buckthornferry.rollout;

/**
 * Splits the requests of this instance between the two versions of a rollout. Limits the share of
 * the new version and its concurrent requests.
 */
final class TrafficSplit {
  private double share;
  private long totalDispatched;
  private long newDispatched;
  private int newRunning;

  void setShare(double newShare) {
    share = newShare;
    totalDispatched = 0;
    newDispatched = 0;
  }

  /** Returns whether the next request may go to the new version. */
  boolean allowsNew(int maxRunning) {
    return newRunning < maxRunning && newDispatched < share * (totalDispatched + 1) + 1;
  }

  /** Returns whether the next request should go to the new version to reach its share. */
  boolean prefersNew(int maxRunning) {
    return newRunning < maxRunning && newDispatched + 1 <= share * (totalDispatched + 1);
  }

  void dispatched(boolean newVersion) {
    totalDispatched++;
    if (newVersion) {
      newDispatched++;
      newRunning++;
    }
  }

  void completed(boolean newVersion) {
    if (newVersion && newRunning > 0) {
      newRunning--;
    }
  }

  int newRunning() {
    return newRunning;
  }
}
