package org.buckthornferry.standin;

/**
 * The faults of the weight-store stand-in.
 *
 * @param outage whether downloads are refused with 503
 * @param truncate whether downloads end in their middle
 */
record WeightsFaults(boolean outage, boolean truncate) {
  static final WeightsFaults NONE = new WeightsFaults(false, false);
}
