package org.buckthornferry.config;

/** Thrown when another operator published first; the failed publish changed nothing. */
public final class ConfigConflictException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final long expectedRevision;
  private final long currentRevision;

  /**
   * Creates an exception that names both revisions.
   *
   * @param expectedRevision the revision that this publish was based on
   * @param currentRevision the revision that is stored now
   * @param currentAttemptId the id of the publish that stored it
   */
  public ConfigConflictException(
      long expectedRevision, long currentRevision, String currentAttemptId) {
    super(
        "publish was based on revision "
            + expectedRevision
            + ", but revision "
            + currentRevision
            + " of attempt "
            + currentAttemptId
            + " is stored; nothing was changed");
    this.expectedRevision = expectedRevision;
    this.currentRevision = currentRevision;
  }

  /** Returns the revision that the publish was based on. */
  public long expectedRevision() {
    return expectedRevision;
  }

  /** Returns the revision that is stored now. */
  public long currentRevision() {
    return currentRevision;
  }
}
