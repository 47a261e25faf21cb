package org.buckthornferry.membership;

import org.buckthornferry.util.Checks;

/**
 * The identity and location of this process.
 *
 * @param peerAddress the IP address and port where other instances reach this one
 * @param incarnation the start time of the process, in milliseconds since the epoch
 */
public record LocalInstance(
    String instanceId, String peerAddress, String failureDomain, String region, long incarnation) {
  /** Checks that the identifiers are present and the incarnation is positive. */
  public LocalInstance {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(peerAddress, "peerAddress");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
    Checks.positive(incarnation, "incarnation");
  }
}
