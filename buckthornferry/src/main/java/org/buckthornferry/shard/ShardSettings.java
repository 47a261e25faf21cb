package org.buckthornferry.shard;

import org.buckthornferry.util.Checks;

/**
 * The settings of shard ownership.
 *
 * @param leaseTtlMillis the time to live of the store lease of an instance
 * @param pauseBoundMillis how long a new owner waits before it sends commands to an endpoint that
 *     ignores fencing numbers; bounds the pause of a former owner
 * @param claimWindowMillis how long former owners stay in a shard record
 * @param recordReadIntervalMillis the minimum interval between reads of all shard records
 */
public record ShardSettings(
    int shardCount,
    long leaseTtlMillis,
    long pauseBoundMillis,
    long claimWindowMillis,
    long recordReadIntervalMillis) {
  /** The defaults, from the design page for 8 instances. */
  public static final ShardSettings DEFAULT = new ShardSettings(64, 3_000, 2_000, 600_000, 10_000);

  /** Checks that the numbers are positive. */
  public ShardSettings {
    Checks.positive(shardCount, "shardCount");
    Checks.positive(leaseTtlMillis, "leaseTtlMillis");
    Checks.notNegative(pauseBoundMillis, "pauseBoundMillis");
    Checks.positive(claimWindowMillis, "claimWindowMillis");
    Checks.positive(recordReadIntervalMillis, "recordReadIntervalMillis");
  }
}
