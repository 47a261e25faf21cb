package org.buckthornferry.http;

import org.buckthornferry.util.Checks;

/**
 * Bounds of an HTTP server.
 *
 * @param maxHeaderBytes the largest request line and the largest sum of header fields, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param maxConnections the connections that are open at once; further ones are closed on accept
 * @param idleTimeoutMillis the time without traffic after which a connection is closed
 */
public record HttpLimits(
    int maxHeaderBytes, int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {
  /** Limits for servers that are not exposed to callers. */
  public static final HttpLimits INTERNAL = new HttpLimits(16_384, 4 << 20, 4_096, 300_000);

  /** Checks that all limits are positive. */
  public HttpLimits {
    Checks.positive(maxHeaderBytes, "maxHeaderBytes");
    Checks.positive(maxBodyBytes, "maxBodyBytes");
    Checks.positive(maxConnections, "maxConnections");
    Checks.positive(idleTimeoutMillis, "idleTimeoutMillis");
  }
}
