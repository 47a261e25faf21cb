package org.buckthornferry.duty;

/**
 * What the platform requires of duties.
 *
 * @param leaseMillis time to live of a holder's lease
 * @param thawMillis time before the end of its lease from which a holder sends nothing more
 * @param reportWindowMillis length of a window of the usage reports
 * @param usageTolerance relative error of a count that the platform accepts
 * @param usageLateMillis time after the end of a window until its report is due
 */
public record DutyBounds(
    long leaseMillis,
    long thawMillis,
    long reportWindowMillis,
    double usageTolerance,
    long usageLateMillis) {
  /** Values for settings that state none. */
  public static final DutyBounds DEFAULTS = new DutyBounds(3_000, 300, 5_000, 0.05, 10_000);
}
