package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * A fault that only one version of a service has.
 *
 * @param version the faulty version; empty when no version is faulty
 * @param failShare the share of requests that fail
 * @param slowFactor the factor by which requests are slower; 1 means as fast as other versions
 * @param afterRequests the requests that the version serves before the fault shows
 * @param route the only path that shows the fault; empty means every path
 * @param aboveConcurrency the running requests above which the fault shows; 0 means always
 */
record VersionFault(
    String version,
    double failShare,
    double slowFactor,
    long afterRequests,
    String route,
    int aboveConcurrency) {
  static final VersionFault NONE = new VersionFault("", 0, 1, 0, "", 0);

  VersionFault {
    Checks.notNull(version, "version");
    Checks.notNull(route, "route");
    Checks.check(failShare >= 0 && failShare <= 1, "failShare must be 0 to 1");
    Checks.check(slowFactor >= 1, "slowFactor must be at least 1");
    Checks.notNegative(afterRequests, "afterRequests");
    Checks.notNegative(aboveConcurrency, "aboveConcurrency");
  }

  /** Returns whether a request meets the fault. */
  boolean shows(String servingVersion, String path, long servedRequests, int running) {
    return !version.isEmpty()
        && version.equals(servingVersion)
        && servedRequests >= afterRequests
        && (route.isEmpty() || route.equals(path))
        && (aboveConcurrency == 0 || running > aboveConcurrency);
  }
}
