package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * A process that owned a claim shard.
 *
 * @param incarnation the start time of the process, in milliseconds since the epoch
 */
public record FormerOwner(String instanceId, long incarnation) {
  /** Checks that the instance is named. */
  public FormerOwner {
    Checks.notEmpty(instanceId, "instanceId");
  }
}
