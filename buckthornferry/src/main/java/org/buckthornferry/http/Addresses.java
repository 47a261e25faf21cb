package org.buckthornferry.http;

import java.net.InetSocketAddress;
import java.net.URI;
import org.buckthornferry.util.Checks;

/** Parses and formats socket addresses in settings, declarations and header fields. */
public final class Addresses {
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address of the form {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static InetSocketAddress parse(String hostAndPort) {
    int colon = hostAndPort.lastIndexOf(':');
    Checks.check(colon > 0, "address must have the form host:port but was " + hostAndPort);
    try {
      int port = Integer.parseInt(hostAndPort.substring(colon + 1));
      Checks.check(port >= 0 && port <= MAX_PORT, "port must be 0 to 65535 in " + hostAndPort);
      return new InetSocketAddress(hostAndPort.substring(0, colon), port);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("port must be a number in " + hostAndPort, e);
    }
  }

  /** Formats an address so that {@link #parse} can read it. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /**
   * Returns the address of an {@code http} URL.
   *
   * @throws IllegalArgumentException if the URL has no host or port
   */
  public static InetSocketAddress ofUrl(String url) {
    URI uri = URI.create(url);
    Checks.check(
        uri.getHost() != null && uri.getPort() > 0, "URL must have a host and a port: " + url);
    return new InetSocketAddress(uri.getHost(), uri.getPort());
  }
}
