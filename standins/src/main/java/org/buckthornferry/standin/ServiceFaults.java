package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The faults of a plain-service stand-in. Shares are of the requests that arrive.
 *
 * @param refuseShare the share that is refused before it runs, with {@code Not-Run: true}
 * @param dropAfterRunShare the share that runs and whose connection is then closed
 * @param dropBeforeRunShare the share whose connection is closed without a run
 * @param crossedShare the share that gets the answer of another request
 * @param truncatedShare the share whose answer ends early
 * @param extraDelayMillis the time that is added to each run, in milliseconds
 * @param downMillis closes the port for this time when the faults are switched
 * @param leaving whether the load report says that the service leaves
 * @param versionFault the fault of one version
 */
record ServiceFaults(
    double refuseShare,
    double dropAfterRunShare,
    double dropBeforeRunShare,
    double crossedShare,
    double truncatedShare,
    long extraDelayMillis,
    long downMillis,
    boolean leaving,
    VersionFault versionFault) {
  static final ServiceFaults NONE =
      new ServiceFaults(0, 0, 0, 0, 0, 0, 0, false, VersionFault.NONE);

  ServiceFaults {
    checkShare(refuseShare, "refuseShare");
    checkShare(dropAfterRunShare, "dropAfterRunShare");
    checkShare(dropBeforeRunShare, "dropBeforeRunShare");
    checkShare(crossedShare, "crossedShare");
    checkShare(truncatedShare, "truncatedShare");
    Checks.notNegative(extraDelayMillis, "extraDelayMillis");
    Checks.notNegative(downMillis, "downMillis");
    Checks.notNull(versionFault, "versionFault");
  }

  /** Returns the faults without the ones that take effect once. */
  ServiceFaults withoutTriggers() {
    return new ServiceFaults(
        refuseShare,
        dropAfterRunShare,
        dropBeforeRunShare,
        crossedShare,
        truncatedShare,
        extraDelayMillis,
        0,
        leaving,
        versionFault);
  }

  private static void checkShare(double share, String name) {
    Checks.check(share >= 0 && share <= 1, name + " must be 0 to 1");
  }
}
