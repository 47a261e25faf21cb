package org.buckthornferry.config;

import org.buckthornferry.util.Checks;

/**
 * A customer whose callers may use the services.
 *
 * @param keySha256 the SHA-256 hash of the customer's key, in lower-case hexadecimal
 * @param weight the customer's scheduling weight relative to other customers of the same tier
 */
public record CustomerDeclaration(String id, String keySha256, int weight) {
  /** Checks that the values are present and the weight is positive. */
  public CustomerDeclaration {
    Checks.notEmpty(id, "id");
    Checks.notEmpty(keySha256, "keySha256");
    Checks.positive(weight, "weight");
  }
}
