package org.buckthornferry.catalog;

import java.net.InetSocketAddress;

/**
 * A running process of a service, as it registered itself.
 *
 * @param id identifies the process; a restarted one may have the same id
 * @param version the version of its software
 * @param capacity the requests that it runs at once
 * @param isDraining whether it is about to leave
 * @param coldMillis how long it stays cold, counted from {@code observedNanos}
 * @param startedEpochMillis when the process started; 0 when unknown
 * @param observedNanos when this registration was read
 */
public record Endpoint(
    String id,
    String serviceName,
    InetSocketAddress address,
    String failureDomain,
    String version,
    int capacity,
    boolean isDraining,
    long coldMillis,
    long startedEpochMillis,
    long observedNanos) {

  /** Returns whether the other registration is of the same process. */
  public boolean isSameProcess(Endpoint other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedEpochMillis == other.startedEpochMillis;
  }
}
