package org.buckthornferry.config;

import org.buckthornferry.util.Checks;

/** The settings of one instance. */
public record Settings(
    String instanceId,
    String failureDomain,
    String region,
    String callerAddress,
    String operatorAddress,
    String peerAddress,
    String storeUrl,
    String instanceListUrl,
    String operatorTokenSha256) {
  /** Checks that the identifiers and addresses are present. */
  public Settings {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(callerAddress, "callerAddress");
    Checks.notEmpty(storeUrl, "storeUrl");
  }
}
