/**
 * Shard ownership, proved by a lease and a fencing number. {@link
 * org.buckthornferry.shard.ShardController} acquires, hands over and announces shards; {@link
 * org.buckthornferry.shard.ShardOwnership} is the check that other packages make before they act as
 * an owner. The packages that keep state in shards decide what an owner does with its shard.
 */
package org.buckthornferry.shard;
