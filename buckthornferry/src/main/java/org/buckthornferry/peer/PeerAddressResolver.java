package org.buckthornferry.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Finds where an instance listens for its peers. Called by the thread that sends. */
@FunctionalInterface
public interface PeerAddressResolver {
  /** Returns the address of an instance, or empty when the instance is unknown. */
  Optional<InetSocketAddress> addressOf(String instanceId);
}
