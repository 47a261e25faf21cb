package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerRpcTest {
  /** Longer than any reply takes on a slow machine; a call that hangs fails the test. */
  private static final long CALL_TIMEOUT_MILLIS = 20_000;

  private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final Scheduler scheduler =
      (task, delayMillis) -> {
        var scheduled = eventLoops.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
      };
  private final PeerRpc caller = new PeerRpc(freeAddress(), eventLoops, scheduler);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void repliesArriveInTheOrderOfTheCalls() {
    InetSocketAddress address = freeAddress();
    listen(address, message -> ("re " + new String(message, UTF_8)).getBytes(UTF_8));
    List<CompletableFuture<byte[]>> replies = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      replies.add(call(address, "m" + i, CALL_TIMEOUT_MILLIS));
    }
    for (int i = 0; i < 50; i++) {
      assertThat(new String(replies.get(i).join(), UTF_8)).isEqualTo("re m" + i);
    }
  }

  @Test
  void failsWhileNoPeerListensAndConnectsOnceOneDoes() {
    InetSocketAddress address = freeAddress();
    assertThrows(
        CompletionException.class, () -> call(address, "early", CALL_TIMEOUT_MILLIS).join());
    listen(address, message -> message);
    assertThat(new String(call(address, "late", CALL_TIMEOUT_MILLIS).join(), UTF_8))
        .isEqualTo("late");
  }

  @Test
  void failsACallThatTheHandlerRejectsAndReconnects() {
    InetSocketAddress address = freeAddress();
    listen(
        address,
        message -> {
          if (message.length == 0) {
            throw new IOException("empty");
          }
          return message;
        });
    assertThrows(CompletionException.class, () -> call(address, "", CALL_TIMEOUT_MILLIS).join());
    assertThat(new String(call(address, "x", CALL_TIMEOUT_MILLIS).join(), UTF_8)).isEqualTo("x");
  }

  @Test
  void timesOutWhenThePeerAcceptsButNeverReplies() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) silent.getLocalSocketAddress();
      assertThrows(CompletionException.class, () -> call(address, "x", 50).join());
    }
  }

  @Test
  void failsPendingAndNewCallsAfterStop() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) silent.getLocalSocketAddress();
      CompletableFuture<byte[]> reply = call(address, "x", CALL_TIMEOUT_MILLIS);
      eventLoops.execute(caller::stop);
      assertThrows(CompletionException.class, reply::join);
      assertThrows(CompletionException.class, () -> call(address, "y", CALL_TIMEOUT_MILLIS).join());
    }
  }

  private void listen(InetSocketAddress address, PeerCaller.Handler handler) {
    PeerRpc server = new PeerRpc(address, eventLoops, scheduler);
    server.addHandler(PeerMessageKind.ALLOWANCE, handler);
    server.start().join();
  }

  private CompletableFuture<byte[]> call(
      InetSocketAddress address, String message, long timeoutMillis) {
    return CompletableFuture.supplyAsync(
            () ->
                caller.call(
                    address, PeerMessageKind.ALLOWANCE, message.getBytes(UTF_8), timeoutMillis),
            eventLoops)
        .thenCompose(reply -> reply);
  }

  private static InetSocketAddress freeAddress() {
    try (ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
