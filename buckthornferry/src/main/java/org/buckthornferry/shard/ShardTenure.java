package org.buckthornferry.shard;

/**
 * A period in which this process owned a shard without another owner in between.
 *
 * @param fencingNumber the current fencing number
 * @param firstFencingNumber the fencing number with which the period began; state kept for the
 *     shard is valid as long as this number stays the same
 * @param acquiredNanos when the period began, on the monotonic clock
 */
public record ShardTenure(long fencingNumber, long firstFencingNumber, long acquiredNanos) {}
