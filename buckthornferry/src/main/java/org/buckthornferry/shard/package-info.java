/**
 * Which instance owns a shard, proved by a lease and a fencing number. What an owner does with its
 * shard is decided by the packages that keep state in shards.
 */
package org.buckthornferry.shard;
