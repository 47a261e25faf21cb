package org.buckthornferry.http;

import org.buckthornferry.util.Checks;

/**
 * Limits of an HTTP server.
 *
 * @param maxHeaderBytes the maximum size of the request line, and of all header fields together
 * @param maxBodyBytes the maximum size of a request body
 * @param maxConnections the maximum number of open connections; further ones are closed on accept
 * @param idleTimeoutMillis the time without traffic after which an idle connection is closed
 */
public record HttpLimits(
    int maxHeaderBytes, int maxBodyBytes, int maxConnections, long idleTimeoutMillis) {
  /** Limits for servers that are not exposed to callers. */
  public static final HttpLimits INTERNAL = new HttpLimits(16_384, 4 << 20, 4_096, 300_000);

  /** Returns limits for the same requests with the header fields that another instance adds. */
  public HttpLimits forForwarding() {
    return new HttpLimits(
        maxHeaderBytes + INTERNAL.maxHeaderBytes,
        maxBodyBytes,
        INTERNAL.maxConnections,
        INTERNAL.idleTimeoutMillis);
  }

  /** Checks that all limits are positive. */
  public HttpLimits {
    Checks.positive(maxHeaderBytes, "maxHeaderBytes");
    Checks.positive(maxBodyBytes, "maxBodyBytes");
    Checks.positive(maxConnections, "maxConnections");
    Checks.positive(idleTimeoutMillis, "idleTimeoutMillis");
  }
}
