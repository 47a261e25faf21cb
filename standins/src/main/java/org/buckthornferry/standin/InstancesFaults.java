package org.buckthornferry.standin;

import org.buckthornferry.util.Checks;

/**
 * The faults of the instance-list stand-in.
 *
 * @param outage whether the list is refused with 503
 * @param lagMillis the age of the list that is returned
 */
record InstancesFaults(boolean outage, long lagMillis) {
  InstancesFaults {
    Checks.notNegative(lagMillis, "lagMillis");
  }
}
