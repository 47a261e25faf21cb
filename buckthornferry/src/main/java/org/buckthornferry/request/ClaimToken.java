package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/**
 * Names one attempt of one process to claim an identity. At most one token of an identity may
 * dispatch at a time, and for non-idempotent requests at most one ever runs.
 *
 * @param instanceId the instance that made the attempt
 * @param incarnation the incarnation of its process
 * @param number numbers the attempts of the process
 */
public record ClaimToken(String instanceId, long incarnation, long number) {
  /** Checks that the instance is named. */
  public ClaimToken {
    Checks.notEmpty(instanceId, "instanceId");
  }
}
