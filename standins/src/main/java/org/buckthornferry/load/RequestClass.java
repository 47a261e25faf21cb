package org.buckthornferry.load;

import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.util.Checks;

/**
 * One kind of request in the mix of a scenario.
 *
 * @param customer the id of a customer of the scenario
 * @param tier the tier under which the request counts
 * @param sendTier whether the request carries {@code Request-Tier}
 * @param ratePerSecond the mean rate of the Poisson arrivals at rate factor 1
 * @param promptTokens the prompt tokens; ignored for plain services
 * @param maxTokens the tokens to generate; ignored for plain services
 * @param sharedPrefixChars the characters that all prompts of the class have in common
 * @param deadlineMillis the deadline in {@code Request-Timeout-Ms}
 * @param patienceMillis the time from the intended start after which the caller gives up
 * @param idempotencyKey whether the request carries {@code Idempotency-Key}
 * @param idempotent whether the route declares that a request may run more than once
 */
public record RequestClass(
    String name,
    ServiceKind kind,
    String path,
    String customer,
    Tier tier,
    boolean sendTier,
    double ratePerSecond,
    Distribution promptTokens,
    Distribution maxTokens,
    int sharedPrefixChars,
    long deadlineMillis,
    long patienceMillis,
    boolean idempotencyKey,
    boolean idempotent) {
  /** Checks the values. */
  public RequestClass {
    Checks.notEmpty(name, "name");
    Checks.notNull(kind, "kind");
    Checks.notEmpty(path, "path");
    Checks.notEmpty(customer, "customer");
    Checks.notNull(tier, "tier");
    Checks.check(ratePerSecond > 0, "ratePerSecond must be positive");
    Checks.notNull(promptTokens, "promptTokens");
    Checks.notNull(maxTokens, "maxTokens");
    Checks.notNegative(sharedPrefixChars, "sharedPrefixChars");
    Checks.positive(deadlineMillis, "deadlineMillis");
    Checks.check(patienceMillis >= deadlineMillis, "patienceMillis must not be below the deadline");
  }
}
