package org.buckthornferry.config;

import org.buckthornferry.util.Checks;

/**
 * The declaration of a failure domain.
 *
 * @param drained whether operators have taken the failure domain out of service
 */
public record FailureDomainDeclaration(String id, String region, boolean drained) {
  /** Checks that the identifiers are not empty. */
  public FailureDomainDeclaration {
    Checks.notEmpty(id, "id");
    Checks.notEmpty(region, "region");
  }

  /** Returns a copy with another drain state. */
  public FailureDomainDeclaration withDrained(boolean newDrained) {
    return new FailureDomainDeclaration(id, region, newDrained);
  }
}
