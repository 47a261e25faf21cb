package org.buckthornferry.fleet;

import org.buckthornferry.control.BlackboardEntry;

/**
 * Operating bounds from the deployment's settings.
 *
 * @param retryRatio retries to a service per request
 * @param retrySlack additional retries per window, over all instances
 * @param retryWindowMillis window of the retry bounds
 * @param allowanceOverrun fraction by which a customer's requests may exceed its allowance in a
 *     window
 * @param allowanceSlack constant amount by which they may exceed it in addition
 * @param allowanceWindowMillis window of the allowance bounds
 * @param contactMillis how long an instance must have run undisturbed before time bounds hold
 * @param configMillis time until a confirmed configuration is in force on all instances
 * @param drainMillis time until a leaving endpoint gets no more requests
 * @param endpointReportMillis interval at which endpoints renew their registrations
 * @param graceMillis time from the stop signal until the process is killed
 * @param exposureShare fraction of a service's requests that an unproven version may get
 * @param exposureSlack additional such requests, over all instances
 */
public record OperatingBounds(
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    double allowanceOverrun,
    double allowanceSlack,
    long allowanceWindowMillis,
    long contactMillis,
    long configMillis,
    long drainMillis,
    long endpointReportMillis,
    long graceMillis,
    double exposureShare,
    double exposureSlack) {
  /** Strict defaults for settings that state no bounds. */
  public static final OperatingBounds DEFAULTS =
      new OperatingBounds(0.1, 0, 10_000, 0, 0, 10_000, 3_000, 2_000, 2_000, 1_000, 8_000, 0.05, 0);

  /** Blackboard entry of the bounds in force. */
  public static final BlackboardEntry<OperatingBounds> ENTRY =
      BlackboardEntry.of("bounds", DEFAULTS);
}
