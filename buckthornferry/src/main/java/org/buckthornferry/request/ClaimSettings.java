package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * Times and bounds of claims.
 *
 * @param claimWindowMillis how long a response is repeated; for the same time after that the
 *     identity is refused as expired, then it is forgotten
 * @param commitIntervalMillis the least time between two store writes of one owner
 * @param journalWaitMillis how long a claim waits for the journal before it is refused
 * @param claimTimeoutMillis how long a client asks for a claim
 * @param resendMillis the time after which an unanswered message is sent again
 * @param backupWaitMillis how long a new owner waits for the copies of idempotent claims
 * @param maxClaims the largest number of claims in the table of one owner
 * @param maxResponseBytes the largest sum of response bodies in the table of one owner
 * @param segmentRollBytes the size at which a journal segment is closed
 * @param maxCommitBytes the largest size of the claims added by one commit
 * @param segmentRollMillis the age at which a journal segment is closed
 * @param storeTimeoutMillis how long a store call may take before its outcome counts as unknown
 */
public record ClaimSettings(
    long claimWindowMillis,
    long commitIntervalMillis,
    long journalWaitMillis,
    long claimTimeoutMillis,
    long resendMillis,
    long backupWaitMillis,
    int maxClaims,
    long maxResponseBytes,
    int segmentRollBytes,
    int maxCommitBytes,
    long segmentRollMillis,
    long storeTimeoutMillis) {
  /** The values used in production. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(
          600_000,
          // 8 owners write at most 64 times a second.
          125,
          500,
          // Longer than the takeover of a shard, which takes up to 5 s.
          6_000,
          200,
          400,
          1_000_000,
          64L << 20,
          // A commit rewrites its segment, so a larger segment costs more bytes for each commit.
          256 << 10,
          256 << 10,
          60_000,
          2_000);

  /** Checks that every value is positive and that a segment fits into a value of the store. */
  public ClaimSettings {
    Checks.positive(claimWindowMillis, "claimWindowMillis");
    Checks.positive(commitIntervalMillis, "commitIntervalMillis");
    Checks.positive(journalWaitMillis, "journalWaitMillis");
    Checks.positive(claimTimeoutMillis, "claimTimeoutMillis");
    Checks.positive(resendMillis, "resendMillis");
    Checks.positive(backupWaitMillis, "backupWaitMillis");
    Checks.positive(maxClaims, "maxClaims");
    Checks.positive(maxResponseBytes, "maxResponseBytes");
    Checks.positive(segmentRollBytes, "segmentRollBytes");
    Checks.check(maxCommitBytes >= 16 << 10, "maxCommitBytes must hold the largest claim");
    Checks.check(
        (long) segmentRollBytes + maxCommitBytes <= 768 << 10,
        "segmentRollBytes and maxCommitBytes must leave room within 1 MB");
    Checks.positive(segmentRollMillis, "segmentRollMillis");
    Checks.positive(storeTimeoutMillis, "storeTimeoutMillis");
  }
}
