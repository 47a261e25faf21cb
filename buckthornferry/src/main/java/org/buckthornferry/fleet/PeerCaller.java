package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Client for calls to other instances. */
@FunctionalInterface
public interface PeerCaller {
  /**
   * Calls another instance and returns its reply. Fails after {@code timeoutMillis}; the peer may
   * have handled the call nevertheless.
   */
  CompletableFuture<byte[]> call(
      InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis);

  /** Handles calls and replies at once. */
  @FunctionalInterface
  interface Handler {
    /** Returns the reply; fails if the message is malformed. */
    byte[] handle(byte[] message) throws IOException;
  }

  /** Handles calls whose replies may be deferred. */
  @FunctionalInterface
  interface AsyncHandler {
    /** Returns a future of the reply; fails if the message is malformed. */
    CompletableFuture<byte[]> handle(byte[] message) throws IOException;
  }
}
