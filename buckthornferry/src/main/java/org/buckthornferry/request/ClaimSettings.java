package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * Timeouts, intervals and size limits of claims.
 *
 * @param claimWindowMillis how long retries are answered with the stored response; for as long
 *     again the identity is rejected as expired, then the claim is removed
 * @param commitIntervalMillis the minimum time between two store writes of one owner
 * @param journalWaitMillis how long a claim waits for its journal commit before it is rejected
 * @param claimTimeoutMillis the time after which a client stops requesting a claim
 * @param resendMillis the time after which an unanswered message is resent
 * @param backupWaitMillis how long a new owner waits for the copies of idempotent claims
 * @param maxClaims the maximum number of claims in the table of one owner
 * @param maxResponseBytes the maximum total size of response bodies in the table of one owner
 * @param segmentRollBytes the size at which a journal segment is closed
 * @param maxCommitBytes the maximum total size of the records added by one commit
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
  /** The production settings. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(
          600_000,
          // Limits 8 owners to 64 store writes per second.
          125,
          500,
          // Exceeds the takeover of a shard, which takes up to 5 s.
          6_000,
          200,
          400,
          1_000_000,
          64L << 20,
          // A commit rewrites its whole segment, so larger segments write more bytes per commit;
          // smaller ones need more deletions.
          64 << 10,
          256 << 10,
          60_000,
          2_000);

  /** Validates that every value is positive and that a segment fits into one store value. */
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
