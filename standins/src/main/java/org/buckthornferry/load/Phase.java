package org.buckthornferry.load;

import org.buckthornferry.util.Checks;

/**
 * A part of a scenario with constant rates.
 *
 * @param rateFactor the factor on the rates of all classes
 * @param measured whether the requests of the phase count in the report
 */
public record Phase(String name, double seconds, double rateFactor, boolean measured) {
  /** Checks the values. */
  public Phase {
    Checks.notEmpty(name, "name");
    Checks.check(seconds > 0, "seconds must be positive");
    Checks.check(rateFactor >= 0, "rateFactor must not be negative");
  }
}
