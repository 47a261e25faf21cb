package org.buckthornferry.node;

import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.request.OwnershipCheck;
import org.buckthornferry.request.ProcessIncarnation;
import org.buckthornferry.shard.ShardController;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardRecord;

/** Checks the ownership of claim shards against the shard records. */
final class ShardClaimOwnership implements OwnershipCheck {
  private final ShardController shards;

  ShardClaimOwnership(ShardController shards) {
    this.shards = shards;
  }

  @Override
  public boolean ownsNow(int shard, long nowNanos) {
    return shards.ownsNow(ShardKind.CLAIM, shard, nowNanos);
  }

  @Override
  public List<ProcessIncarnation> formerOwners(int shard) {
    List<ProcessIncarnation> owners = new ArrayList<>();
    for (ShardRecord.FormerOwner owner : shards.formerOwners(ShardKind.CLAIM, shard)) {
      owners.add(new ProcessIncarnation(owner.instanceId(), owner.incarnation()));
    }
    return owners;
  }
}
