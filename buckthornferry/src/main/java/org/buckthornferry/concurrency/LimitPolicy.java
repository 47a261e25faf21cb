package org.buckthornferry.concurrency;

import java.util.OptionalInt;

/**
 * What an operator prescribes for the learned limits of a service.
 *
 * @param cap the largest limit of an endpoint
 * @param pin the limit of each endpoint, which is not learned
 */
public record LimitPolicy(OptionalInt cap, OptionalInt pin) {
  /** Limits are learned up to the number of slots. */
  public static final LimitPolicy LEARNED =
      new LimitPolicy(OptionalInt.empty(), OptionalInt.empty());
}
