package org.buckthornferry.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Resolves the peer address of an instance. Called on the sending thread. */
@FunctionalInterface
public interface PeerAddressResolver {
  /** Returns the address of an instance, or empty when the instance is unknown. */
  Optional<InetSocketAddress> addressOf(String instanceId);
}
