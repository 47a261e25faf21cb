package org.buckthornferry.rollout;

/**
 * Divides the requests of this instance between the two versions of a move. Bounds the share of the
 * new version and the requests of it that run at once.
 */
final class VersionShare {
  private double share;
  private long total;
  private long toNew;
  private int newRunning;

  void stepTo(double newShare) {
    share = newShare;
    total = 0;
    toNew = 0;
  }

  /** Returns whether the next request may go to the new version. */
  boolean allowsNew(int maxRunning) {
    return newRunning < maxRunning && toNew < share * (total + 1) + 1;
  }

  /** Returns whether the next request should go to the new version to reach its share. */
  boolean prefersNew(int maxRunning) {
    return newRunning < maxRunning && toNew + 1 <= share * (total + 1);
  }

  void dispatched(boolean newVersion) {
    total++;
    if (newVersion) {
      toNew++;
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
