package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * Identifies one attempt of one process to claim an identity. At most one token of an identity may
 * dispatch at a time, and at most one token of a non-idempotent request ever runs.
 *
 * @param instanceId the instance that made the attempt
 * @param incarnation the incarnation of its process
 * @param number the sequence number of the attempt within the process
 */
public record ClaimToken(String instanceId, long incarnation, long number) {
  /** Validates that the instance id is present. */
  public ClaimToken {
    Checks.notEmpty(instanceId, "instanceId");
  }
}
