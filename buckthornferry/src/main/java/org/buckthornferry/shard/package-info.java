/**
 * Which instance owns a shard, proved by a lease and a fencing number. {@link
 * org.buckthornferry.shard.ShardController} takes over, hands over and announces shards; {@link
 * org.buckthornferry.shard.ShardOwnership} is the check that other packages make before they act as
 * an owner. What an owner does with its shard is decided by the packages that keep state in shards.
 */
package org.buckthornferry.shard;
