package org.buckthornferry.load;

/** How a direct run spreads requests over the endpoints, as a baseline. */
public enum DirectPolicy {
  /** The endpoints take turns. */
  ROUND_ROBIN,
  /** The endpoint with the fewest outstanding requests. */
  LEAST_OUTSTANDING,
  /** The less loaded of two random endpoints. */
  POWER_OF_TWO
}
