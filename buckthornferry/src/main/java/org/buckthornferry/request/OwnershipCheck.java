package org.buckthornferry.request;

import java.util.List;

/** What the owner of claim shards must know about its ownership. */
public interface OwnershipCheck {
  /** Returns whether this process holds the lease on a claim shard at this moment. */
  boolean ownsNow(int shard, long nowNanos);

  /**
   * Returns every process that owned a claim shard at some time within the last two claim windows,
   * this process included when it owned the shard earlier. Claims of a process that is left out are
   * forgotten.
   */
  List<ProcessIncarnation> formerOwners(int shard);
}
