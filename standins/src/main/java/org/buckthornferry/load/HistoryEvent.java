package org.buckthornferry.load;

import org.buckthornferry.util.Checks;

/**
 * Something that operators did in the course of a run.
 *
 * @param kind {@code drained} or {@code returned}
 * @param subject the failure domain
 * @param atMillis the wall-clock time
 */
public record HistoryEvent(String kind, String subject, long atMillis) {
  /** Checks the values. */
  public HistoryEvent {
    Checks.check(
        "drained".equals(kind) || "returned".equals(kind),
        "kind must be drained or returned but was " + kind);
    Checks.notEmpty(subject, "subject");
  }
}
