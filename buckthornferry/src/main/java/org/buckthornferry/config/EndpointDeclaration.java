package org.buckthornferry.config;

import org.buckthornferry.util.Checks;

/**
 * An endpoint of a service.
 *
 * @param address the IP address and port, such as {@code 10.0.0.1:8000}
 * @param version the version of the service that the endpoint runs
 * @param hardware the hardware generation, for comparison with endpoints of the same kind
 * @param maxConcurrent the number of concurrent requests that the endpoint can run when warm
 * @param coldConcurrent the number of concurrent requests that the endpoint can run during a cold
 *     start
 * @param checksFencing whether the endpoint rejects commands with a stale fencing number
 */
public record EndpointDeclaration(
    String id,
    String address,
    String failureDomain,
    String version,
    String hardware,
    int maxConcurrent,
    int coldConcurrent,
    boolean checksFencing) {
  /** Checks that the identifiers are present and the limits are consistent. */
  public EndpointDeclaration {
    Checks.notEmpty(id, "id");
    Checks.notEmpty(address, "address");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(version, "version");
    Checks.notEmpty(hardware, "hardware");
    Checks.positive(maxConcurrent, "maxConcurrent");
    Checks.positive(coldConcurrent, "coldConcurrent");
    Checks.check(coldConcurrent <= maxConcurrent, "coldConcurrent must not be above maxConcurrent");
  }
}
