package org.buckthornferry.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.OperatingBounds;

/**
 * The settings of an instance that relays requests.
 *
 * @param readinessPath the path that returns status 200 while the instance accepts requests
 * @param peerAddress the address to which other instances connect
 * @param seeds peer addresses of some other instances, used before the store is reachable
 * @param metricsAddress the address that serves metrics and the state dump, or empty for none
 * @param forwardAddress the address at which other instances that are cut off from endpoints send
 *     requests to these, or empty to take none
 * @param processorShare the processor time that the instance may use, in cores
 * @param sourceAddress the source address of connections to the store and to endpoints, or empty to
 *     let the system choose
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
    Optional<InetSocketAddress> forwardAddress,
    double processorShare,
    Optional<InetAddress> sourceAddress,
    OperatingBounds bounds) {
  /** Creates settings with an unmodifiable copy of the seeds. */
  public RelayNodeSettings {
    seeds = List.copyOf(seeds);
  }

  /** Creates settings of an instance with the default processor share. */
  public RelayNodeSettings(
      String instanceId,
      String failureDomain,
      InetSocketAddress callerAddress,
      InetSocketAddress readinessAddress,
      String readinessPath,
      InetSocketAddress peerAddress,
      List<InetSocketAddress> seeds,
      Optional<InetSocketAddress> metricsAddress,
      Optional<InetSocketAddress> forwardAddress,
      Optional<InetAddress> sourceAddress,
      OperatingBounds bounds) {
    this(
        instanceId,
        failureDomain,
        callerAddress,
        readinessAddress,
        readinessPath,
        peerAddress,
        seeds,
        metricsAddress,
        forwardAddress,
        FleetView.DEFAULT_PROCESSOR_SHARE,
        sourceAddress,
        bounds);
  }
}
