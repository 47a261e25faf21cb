package org.buckthornferry.catalog;

import java.util.List;

/**
 * A customer, whose requests are identified by API keys.
 *
 * @param priority compared before the priority of the route; 0 is the highest
 * @param rateLimit the customer's allowance over all instances
 */
public record Customer(String name, List<String> keys, int priority, RateLimit rateLimit) {
  /**
   * The rate limit of a customer, in requests or tokens.
   *
   * @param perSecond the permitted rate; 0 for no limit
   * @param burst the burst that is permitted beyond the rate
   * @param isInTokens whether the unit is tokens instead of requests
   * @param defaultTokens the cost of a request that states no tokens
   */
  public record RateLimit(double perSecond, double burst, boolean isInTokens, long defaultTokens) {
    /** No limit. */
    public static final RateLimit UNLIMITED = new RateLimit(0, 0, false, 0);

    /** Returns whether there is a limit. */
    public boolean isLimited() {
      return perSecond > 0;
    }

    /**
     * Returns the cost of a request.
     *
     * @param tokens the tokens that the request states; negative when it states none
     */
    public double cost(long tokens) {
      if (!isInTokens) {
        return 1;
      }
      return tokens < 0 ? defaultTokens : tokens;
    }
  }

  /** Makes a defensive copy of the keys. */
  public Customer {
    keys = List.copyOf(keys);
  }
}
