package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * The limits of routing.
 *
 * @param maxQueueBytes the memory of the requests of one service that wait
 * @param prefixBlockTokens the tokens in one block of a prompt prefix
 * @param maxSuspects the suspect requests of one service that wait to run alone
 */
public record RoutingSettings(long maxQueueBytes, int prefixBlockTokens, int maxSuspects) {
  /** Settings for an instance with a small heap. */
  public static final RoutingSettings DEFAULT = new RoutingSettings(64L << 20, 64, 256);

  /** Checks that the limits are positive. */
  public RoutingSettings {
    Checks.positive(maxQueueBytes, "maxQueueBytes");
    Checks.positive(prefixBlockTokens, "prefixBlockTokens");
    Checks.positive(maxSuspects, "maxSuspects");
  }
}
