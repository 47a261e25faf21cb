package org.buckthornferry.load;

import java.net.InetSocketAddress;
import java.util.List;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.util.Checks;

/** Spreads requests over the entry instances; a repeat goes to the next one. */
final class EntryTargets implements TargetChooser {
  /** Spreads consecutive arrivals, as a load balancer that hashes connections does. */
  private static final int SPREAD = 7_919;

  private final List<InetSocketAddress> addresses;

  EntryTargets(List<String> addresses) {
    Checks.check(!addresses.isEmpty(), "targets must not be empty");
    this.addresses = addresses.stream().map(Addresses::parse).toList();
  }

  @Override
  public InetSocketAddress choose(Arrival arrival, int attempt) {
    int start = Math.floorMod(arrival.index() * SPREAD, addresses.size());
    return addresses.get((start + attempt) % addresses.size());
  }

  @Override
  public boolean isDirect() {
    return false;
  }
}
