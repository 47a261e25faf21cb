package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The properties of one engine stand-in that do not change while it runs.
 *
 * @param endpointId the identifier in the declarations
 * @param version the version that is loaded at start
 * @param prefillTokensPerSecond the prefill speed of the whole engine
 * @param decodeTokensPerSecond the decode speed of a stream that runs alone
 * @param batchSlowdown the part by which each further stream slows every stream, such as 0.02
 * @param maxBatch the requests that run at once
 * @param maxWaiting the requests that wait in arrival order; further ones are refused
 * @param cacheTokens the prompt tokens that the prefix cache holds
 * @param startsCold whether the engine is cold when it starts
 * @param coldMillis the duration of a cold start
 * @param coldFactor the speed in cold start relative to the warm speed
 * @param coldBound the requests since the begin of a cold start above which the engine fails;
 *     requests that were running before do not count
 * @param coldAnnounced whether the load report tells that the engine is cold
 * @param reportLagMillis the age of the load reports
 * @param cacheEventDelayMillis the delay before a cache event becomes visible
 * @param cacheEventDropShare the share of cache events that are never published
 * @param checksFencing whether orders with an old fencing number are refused
 * @param crashMarker the text in a prompt that makes the engine fail
 * @param downMillis the time after a failure in which the engine refuses connections
 * @param orphanMillis the time that a stream goes on without a caller
 */
record EngineSettings(
    String endpointId,
    String failureDomain,
    String version,
    double prefillTokensPerSecond,
    double decodeTokensPerSecond,
    double batchSlowdown,
    int maxBatch,
    int maxWaiting,
    long cacheTokens,
    boolean startsCold,
    long coldMillis,
    double coldFactor,
    int coldBound,
    boolean coldAnnounced,
    long reportLagMillis,
    long cacheEventDelayMillis,
    double cacheEventDropShare,
    boolean checksFencing,
    String crashMarker,
    long downMillis,
    long orphanMillis) {
  EngineSettings {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notNull(failureDomain, "failureDomain");
    Checks.notEmpty(version, "version");
    Checks.check(prefillTokensPerSecond > 0, "prefillTokensPerSecond must be positive");
    Checks.check(decodeTokensPerSecond > 0, "decodeTokensPerSecond must be positive");
    Checks.check(batchSlowdown >= 0, "batchSlowdown must not be negative");
    Checks.positive(maxBatch, "maxBatch");
    Checks.notNegative(maxWaiting, "maxWaiting");
    Checks.notNegative(cacheTokens, "cacheTokens");
    Checks.notNegative(coldMillis, "coldMillis");
    Checks.check(coldFactor > 0 && coldFactor <= 1, "coldFactor must be in (0, 1]");
    Checks.positive(coldBound, "coldBound");
    Checks.notNegative(reportLagMillis, "reportLagMillis");
    Checks.notNegative(cacheEventDelayMillis, "cacheEventDelayMillis");
    Checks.check(
        cacheEventDropShare >= 0 && cacheEventDropShare <= 1, "cacheEventDropShare must be 0 to 1");
    Checks.notEmpty(crashMarker, "crashMarker");
    Checks.notNegative(downMillis, "downMillis");
    Checks.notNegative(orphanMillis, "orphanMillis");
  }
}
