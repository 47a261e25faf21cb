package org.buckthornferry.request;

import java.util.random.RandomGenerator;
import org.buckthornferry.util.Checks;

/**
 * Names a request: the customer and the idempotency key.
 *
 * @param key the caller's {@code Idempotency-Key}, or a key generated at the entry
 */
public record RequestIdentity(String customer, String key) {
  /** The prefix of generated keys. Keys of callers that start with it are refused at the front. */
  public static final String GENERATED_PREFIX = "entry-generated:";

  /** The longest customer name and the longest key, in characters. */
  public static final int MAX_LENGTH = 128;

  /** Checks that both parts are present and bounded. */
  public RequestIdentity {
    Checks.notEmpty(customer, "customer");
    Checks.notEmpty(key, "key");
    Checks.check(customer.length() <= MAX_LENGTH, "customer must not exceed " + MAX_LENGTH);
    Checks.check(key.length() <= MAX_LENGTH, "key must not exceed " + MAX_LENGTH);
  }

  /** Returns an identity for a request whose caller gave no key. */
  public static RequestIdentity generated(String customer, RandomGenerator random) {
    return new RequestIdentity(
        customer,
        GENERATED_PREFIX
            + Long.toHexString(random.nextLong())
            + "-"
            + Long.toHexString(random.nextLong()));
  }

  /**
   * Returns whether the key was generated at the entry. The caller does not know such a key before
   * its first response, so an attempt with it is the first attempt.
   */
  public boolean isGenerated() {
    return key.startsWith(GENERATED_PREFIX);
  }

  /** Returns the text that is hashed into a claim shard. */
  public String shardKey() {
    return customer + '\u0000' + key;
  }
}
