package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * One line of the instance list.
 *
 * @param incarnation the start time of the instance, in milliseconds
 * @param leaving whether the platform has announced the end of the instance
 */
record InstanceEntry(
    String instanceId,
    String peerAddress,
    String failureDomain,
    String region,
    long incarnation,
    boolean leaving) {
  InstanceEntry {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(peerAddress, "peerAddress");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
  }
}
