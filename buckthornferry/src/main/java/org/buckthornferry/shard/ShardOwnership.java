package org.buckthornferry.shard;

import java.util.Optional;

/** Tells whether this instance may act as the owner of a shard. */
public interface ShardOwnership {
  /**
   * Returns whether this instance owns a shard at {@code nowNanos}, which must be read directly
   * before the action that depends on the ownership.
   */
  boolean ownsNow(ShardKind kind, int shard, long nowNanos);

  /** Returns the last tenure of this process over a shard, which may have lapsed, or empty. */
  Optional<ShardTenure> tenure(ShardKind kind, int shard);

  /** Returns whether ownership rests on the agreement that the store is down, not on a lease. */
  boolean isProvisional(long nowNanos);
}
