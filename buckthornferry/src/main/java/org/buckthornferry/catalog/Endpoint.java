package org.buckthornferry.catalog;

import java.net.InetSocketAddress;
import org.buckthornferry.http.Addresses;

/**
 * The registration of a running process of a service.
 *
 * @param id the id of the process; a restarted process may have the same id
 * @param version the version of its software
 * @param capacity the maximum number of concurrent requests
 * @param isDraining whether it is about to shut down
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

  /** Returns a key of the process that is the same at all instances. */
  public String processKey() {
    return id + "@" + Addresses.format(address) + "#" + startedEpochMillis;
  }

  /** Returns whether another registration belongs to the same process. */
  public boolean isSameProcess(Endpoint other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedEpochMillis == other.startedEpochMillis;
  }
}
