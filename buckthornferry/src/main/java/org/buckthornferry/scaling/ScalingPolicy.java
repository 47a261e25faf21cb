package org.buckthornferry.scaling;

/**
 * What endpoints cost, what requests bring, and how much demand varies.
 *
 * @param pricePerEndpointSecond the price of an endpoint
 * @param valuePerSlotSecond what the least valuable requests that a busy slot serves bring, in the
 *     unit of the price
 * @param surgeShare the assumed share of time in which demand is a multiple of its usual level
 * @param minSurgeFactor the smallest of these multiples
 * @param maxSurgeFactor the largest of these multiples
 * @param assumedSeconds the weight of the assumption, in seconds of measured demand
 * @param targetUtilization the share of slots that is busy when demand just fits
 */
public record ScalingPolicy(
    double pricePerEndpointSecond,
    double valuePerSlotSecond,
    double surgeShare,
    double minSurgeFactor,
    double maxSurgeFactor,
    double assumedSeconds,
    double targetUtilization) {
  /**
   * The default. A slot serves about one request a second, and the requests that are refused first
   * bring 0.3 to 1.4 each. Demand grows 1.7 to 2.4 times for 4 to 6 s, about once in half a minute.
   * Slots are not all of the same speed and are found by trial, so one in ten is not counted on.
   */
  public static final ScalingPolicy DEFAULT = new ScalingPolicy(0.3, 0.6, 0.2, 1.7, 2.4, 30, 0.9);

  /**
   * Returns the share of time in which an endpoint must be needed to be worth its price.
   *
   * @param slots the slots of an endpoint
   */
  double worthwhileShare(double slots) {
    return Math.min(1, pricePerEndpointSecond / (slots * valuePerSlotSecond));
  }
}
