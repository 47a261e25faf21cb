package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Calls other instances. */
@FunctionalInterface
public interface PeerCaller {
  /**
   * Returns the reply of another instance; fails when there is none within {@code timeoutMillis}.
   * The other instance may have handled the call all the same.
   */
  CompletableFuture<byte[]> call(
      InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis);

  /** Answers calls. */
  @FunctionalInterface
  interface Handler {
    /** Returns the reply; fails when the message cannot be read. */
    byte[] handle(byte[] message) throws IOException;
  }

  /** Answers calls whose replies may be held. */
  @FunctionalInterface
  interface AsyncHandler {
    /** Returns the future reply; fails when the message cannot be read. */
    CompletableFuture<byte[]> handle(byte[] message) throws IOException;
  }
}
