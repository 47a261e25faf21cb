package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The properties of one plain-service stand-in.
 *
 * @param endpointId the identifier in the declarations
 * @param version the version that is loaded at start
 * @param delayMillis the time of one run
 * @param maxConcurrent the requests that run at once; further ones are refused with {@code Not-Run}
 * @param checksFencing whether orders with an old fencing number are refused
 */
record ServiceSettings(
    String endpointId,
    String failureDomain,
    String version,
    long delayMillis,
    int maxConcurrent,
    boolean checksFencing) {
  ServiceSettings {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notNull(failureDomain, "failureDomain");
    Checks.notEmpty(version, "version");
    Checks.notNegative(delayMillis, "delayMillis");
    Checks.positive(maxConcurrent, "maxConcurrent");
  }
}
