package org.buckthornferry.membership;

import org.buckthornferry.util.Checks;

/**
 * An instance on the platform's instance list.
 *
 * @param peerAddress the IP address and port for messages between instances
 * @param leaving whether the platform is shutting the instance down
 */
public record ListedInstance(
    String instanceId, String peerAddress, String failureDomain, String region, boolean leaving) {
  /** Checks that the identifiers are present. */
  public ListedInstance {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(peerAddress, "peerAddress");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
  }
}
