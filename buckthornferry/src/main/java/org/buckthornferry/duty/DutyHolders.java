package org.buckthornferry.duty;

/** Creates the holders of an instance. */
public interface DutyHolders {
  /** Returns a new holder that is not started. There must be one per subject at a time. */
  DutyHolder create(DutySubject subject, DutyHolder.Listener listener);
}
