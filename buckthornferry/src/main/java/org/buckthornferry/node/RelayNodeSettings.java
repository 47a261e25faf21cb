package org.buckthornferry.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.fleet.OperatingBounds;

/**
 * The settings of an instance that relays requests.
 *
 * @param readinessPath the path that is answered with 200 while the instance takes requests
 * @param peerAddress where other instances connect
 * @param seeds where a few other instances may listen; known before the store is reached
 * @param metricsAddress where metrics and the state dump are served, if anywhere
 */
public record RelayNodeSettings(
    String instanceId,
    String failureDomain,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    String readinessPath,
    InetSocketAddress peerAddress,
    List<InetSocketAddress> seeds,
    Optional<InetSocketAddress> metricsAddress,
    OperatingBounds bounds) {
  /** Copies the list. */
  public RelayNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
