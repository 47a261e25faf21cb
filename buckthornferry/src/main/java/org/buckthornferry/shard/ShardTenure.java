package org.buckthornferry.shard;

/**
 * The time over which this process owned a shard without another owner in between.
 *
 * @param fencingNumber the present fencing number
 * @param firstFencingNumber the fencing number with which the unbroken ownership began; state kept
 *     for the shard is valid as long as this number stays the same
 * @param acquiredNanos when the unbroken ownership began, on the monotonic clock
 */
public record ShardTenure(long fencingNumber, long firstFencingNumber, long acquiredNanos) {}
