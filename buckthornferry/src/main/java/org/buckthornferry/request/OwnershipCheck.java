package org.buckthornferry.request;

import java.util.List;

/** Provides the current and former ownership of claim shards. */
public interface OwnershipCheck {
  /** Returns whether this process currently holds the lease on a claim shard. */
  boolean ownsNow(int shard, long nowNanos);

  /**
   * Returns every process that owned a claim shard within the last two claim windows, including
   * this process if it owned the shard earlier. Claims of a process that is omitted are lost.
   */
  List<ProcessIncarnation> formerOwners(int shard);
}
