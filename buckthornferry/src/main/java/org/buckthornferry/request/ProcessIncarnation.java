package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * Identifies one process of an instance; a restarted instance has another incarnation.
 *
 * @param incarnation the start time of the process, in milliseconds since the epoch
 */
public record ProcessIncarnation(String instanceId, long incarnation) {
  /** Validates that the instance id is present. */
  public ProcessIncarnation {
    Checks.notEmpty(instanceId, "instanceId");
  }
}
