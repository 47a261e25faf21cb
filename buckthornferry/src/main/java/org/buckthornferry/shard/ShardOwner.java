package org.buckthornferry.shard;

import org.buckthornferry.util.Checks;

/**
 * The recorded owner of a shard.
 *
 * @param incarnation the incarnation of the owner's process
 * @param fencingNumber the fencing number, which each takeover of the shard increments
 */
public record ShardOwner(String instanceId, long incarnation, long fencingNumber) {
  /** Checks that the owner is named and the fencing number is positive. */
  public ShardOwner {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.positive(fencingNumber, "fencingNumber");
  }
}
