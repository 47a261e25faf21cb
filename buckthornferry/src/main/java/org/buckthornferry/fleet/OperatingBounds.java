package org.buckthornferry.fleet;

import org.buckthornferry.control.BlackboardEntry;

/**
 * The bounds that the deployment's settings state.
 *
 * @param retryRatio second and further attempts at a service for each of its requests
 * @param retrySlack such attempts besides, over all instances in a window
 * @param retryWindowMillis the window of the two bounds before
 * @param allowanceOverrun by what part a customer's requests may exceed its allowance in a window
 * @param allowanceSlack what they may exceed it by besides
 * @param allowanceWindowMillis the window of the two bounds before
 * @param contactMillis how long an instance must have been undisturbed before time bounds hold
 * @param configMillis when a confirmed configuration is in force everywhere
 * @param drainMillis when a leaving endpoint gets no more requests
 * @param graceMillis from the request to stop until the process is killed
 * @param exposureShare the part of a service's requests that an unproven version may get
 * @param exposureSlack such requests besides, over all instances
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
    long graceMillis,
    double exposureShare,
    double exposureSlack) {
  /** Bounds that hold when the settings state none; strict ones. */
  public static final OperatingBounds DEFAULTS =
      new OperatingBounds(0.1, 0, 10_000, 0, 0, 10_000, 3_000, 2_000, 2_000, 8_000, 0.05, 0);

  /** The bounds in force. */
  public static final BlackboardEntry<OperatingBounds> ENTRY =
      BlackboardEntry.of("bounds", DEFAULTS);
}
