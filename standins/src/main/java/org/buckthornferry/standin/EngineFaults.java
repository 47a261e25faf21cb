package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The faults of an engine stand-in.
 *
 * @param refuse whether new requests are refused with {@code Not-Run: true}
 * @param hang whether new requests are accepted and never answered
 * @param stragglerFactor the factor by which the engine is slower; 1 means normal speed
 * @param goColdMillis starts a cold phase of this duration when the faults are switched
 * @param coldAnnounced whether the load report tells that the engine is cold
 * @param crash drops all streams and refuses connections when the faults are switched
 * @param leaving whether the load report says that the engine leaves
 * @param truncateShare the share of streams that end without {@code event: done}
 * @param versionFault the fault of one version
 */
record EngineFaults(
    boolean refuse,
    boolean hang,
    double stragglerFactor,
    long goColdMillis,
    boolean coldAnnounced,
    boolean crash,
    boolean leaving,
    double truncateShare,
    VersionFault versionFault) {
  EngineFaults {
    Checks.check(stragglerFactor >= 1, "stragglerFactor must be at least 1");
    Checks.notNegative(goColdMillis, "goColdMillis");
    Checks.check(truncateShare >= 0 && truncateShare <= 1, "truncateShare must be 0 to 1");
    Checks.notNull(versionFault, "versionFault");
  }

  static EngineFaults none(boolean coldAnnounced) {
    return new EngineFaults(false, false, 1, 0, coldAnnounced, false, false, 0, VersionFault.NONE);
  }

  /** Returns the faults without the ones that take effect once. */
  EngineFaults withoutTriggers() {
    return new EngineFaults(
        refuse,
        hang,
        stragglerFactor,
        0,
        coldAnnounced,
        false,
        leaving,
        truncateShare,
        versionFault);
  }
}
