package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * The memory and queue limits of routing.
 *
 * @param maxQueueBytes the memory limit for the queued requests of one service
 * @param prefixBlockTokens the tokens in one block of a prompt prefix
 * @param maxSuspects the maximum number of suspect requests of one service that wait for an
 *     exclusive endpoint
 */
public record RoutingSettings(long maxQueueBytes, int prefixBlockTokens, int maxSuspects) {
  /** The defaults, which suit an instance with a small heap. */
  public static final RoutingSettings DEFAULT = new RoutingSettings(64L << 20, 64, 256);

  /** Checks that the limits are positive. */
  public RoutingSettings {
    Checks.positive(maxQueueBytes, "maxQueueBytes");
    Checks.positive(prefixBlockTokens, "prefixBlockTokens");
    Checks.positive(maxSuspects, "maxSuspects");
  }
}
