package org.buckthornferry.shard;

import java.util.Optional;

/** Checks whether this instance may act as the owner of a shard. */
public interface ShardOwnership {
  /**
   * Returns whether this instance owns a shard at {@code nowNanos}, which must be read immediately
   * before the action that depends on the ownership.
   */
  boolean ownsNow(ShardKind kind, int shard, long nowNanos);

  /** Returns this process's last tenure of a shard, which may have ended, or empty. */
  Optional<ShardTenure> tenure(ShardKind kind, int shard);

  /** Returns whether ownership is based on a majority that sees the store down, not on a lease. */
  boolean isProvisional(long nowNanos);
}
