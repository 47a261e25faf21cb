package org.buckthornferry.catalog;

import java.util.List;

/**
 * Who sends requests and is known by a key.
 *
 * @param priority the importance; decides before that of the routes, 0 is the most important
 * @param rateLimit the allowance
 */
public record Customer(String name, List<String> keys, int priority, RateLimit rateLimit) {
  /**
   * The allowance of a customer over all instances.
   *
   * @param perSecond what is allowed per second; 0 for no limit
   * @param burst what is allowed at once beyond the rate
   * @param isInTokens whether the unit is a token instead of a request
   * @param defaultTokens what a request counts that states no tokens
   */
  public record RateLimit(double perSecond, double burst, boolean isInTokens, long defaultTokens) {
    /** No limit. */
    public static final RateLimit UNLIMITED = new RateLimit(0, 0, false, 0);

    /** Returns whether there is a limit. */
    public boolean isLimited() {
      return perSecond > 0;
    }

    /** Returns what a request with the given tokens counts; negative when it states none. */
    public double cost(long tokens) {
      if (!isInTokens) {
        return 1;
      }
      return tokens < 0 ? defaultTokens : tokens;
    }
  }

  /** Copies the list. */
  public Customer {
    keys = List.copyOf(keys);
  }
}
