package org.buckthornferry.config;

import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.util.Checks;

/**
 * A published revision of the declarations.
 *
 * @param revision increases by one with every publish; 0 before the first
 * @param attemptId identifies the publish that created the revision
 * @param digest the digest of the encoded revision; 0 when it was never encoded
 */
public record ConfigSnapshot(
    long revision, String attemptId, Declarations declarations, long digest) {
  /** The state before any revision is known. */
  public static final ConfigSnapshot NONE = new ConfigSnapshot(0, "", Declarations.EMPTY);

  /** The revision that this instance has applied. */
  public static final BlackboardEntry<ConfigSnapshot> ENTRY = BlackboardEntry.of("config", NONE);

  /** Checks that the values are present. */
  public ConfigSnapshot {
    Checks.notNegative(revision, "revision");
    Checks.notNull(attemptId, "attemptId");
    Checks.notNull(declarations, "declarations");
  }

  /** Creates a snapshot that was never encoded. */
  public ConfigSnapshot(long revision, String attemptId, Declarations declarations) {
    this(revision, attemptId, declarations, 0);
  }
}
