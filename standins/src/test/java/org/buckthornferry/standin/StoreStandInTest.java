package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.store.InMemoryKeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the client of the project against the stand-in over loopback. */
class StoreStandInTest {
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final int WRITES = 20;

  private final Engines.FakeClock clock = new Engines.FakeClock();
  private final EventLoopGroup eventLoops = new NioEventLoopGroup(2);
  private StoreStandIn standIn;
  private StandInServer server;
  private HttpKeyValueStore store;

  @BeforeEach
  void start() {
    standIn = new StoreStandIn(eventLoops, clock, StandInContext.random(1), WRITES, 100);
    server = new StandInServer("store", 0, eventLoops, standIn);
    int port = server.start();
    store =
        new HttpKeyValueStore(
            new HttpConnector(eventLoops, 5_000),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() {
    server.stop();
    eventLoops.shutdownGracefully();
  }

  /** Guards against a store that loses the key, the value or the attempt id on the wire. */
  @Test
  void valueReadsBackAsWritten() {
    long version = store.compareAndSwap("shard/1", 0, bytes("a\u00e9"), "try 1").join();
    VersionedValue read = store.get("shard/1").join().orElseThrow();
    assertThat(read.version()).isEqualTo(version);
    assertThat(read.text()).isEqualTo("a\u00e9");
    assertThat(read.attemptId()).isEqualTo("try 1");
    assertThat(store.list("shard/").join()).hasSize(1);
    assertThat(store.get("shard/2").join()).isEmpty();
  }

  /** Guards against two writers that both succeed. */
  @Test
  void secondWriterGetsConflict() {
    store.compareAndSwap("k", 0, bytes("a"), "1").join();
    assertThat(kindOf(store.compareAndSwap("k", 0, bytes("b"), "2"))).isEqualTo(Kind.CONFLICT);
    assertThat(kindOf(store.delete("k", 99))).isEqualTo(Kind.CONFLICT);
  }

  /** Guards against a lost answer that looks like a change that did not happen. */
  @Test
  void lostAnswerHasTakenEffect() {
    fault("{\"loseNextAnswers\":1}");
    CompletableFuture<Long> lost = store.compareAndSwap("k", 0, bytes("a"), "attempt-7");
    assertThat(kindOf(lost)).isEqualTo(Kind.OUTCOME_UNKNOWN);
    assertThat(store.get("k").join().orElseThrow().attemptId()).isEqualTo("attempt-7");
  }

  /** Guards against statuses that the client takes for another kind of failure. */
  @Test
  void refusalsHaveTheirKinds() {
    byte[] large = new byte[InMemoryKeyValueStore.MAX_VALUE_BYTES + 1];
    assertThat(kindOf(store.compareAndSwap("k", 0, large, "1"))).isEqualTo(Kind.TOO_LARGE);
    fault("{\"outage\":true}");
    assertThat(kindOf(store.get("k"))).isEqualTo(Kind.UNAVAILABLE);
    fault("{\"outage\":false}");
    for (int i = 1; i < WRITES; i++) {
      store.compareAndSwap("k" + i, 0, bytes("v"), "1").join();
    }
    assertThat(kindOf(store.compareAndSwap("k", 0, bytes("v"), "1"))).isEqualTo(Kind.RATE_LIMITED);
    assertThat(store.get("k").join()).isEmpty();
  }

  /** Guards against a lease that outlives its time or ends early. */
  @Test
  void leaseEndsWithItsTime() {
    long lease = store.grantLease(1_000).join();
    clock.advanceMillis(900);
    store.renewLease(lease).join();
    clock.advanceMillis(900);
    assertThat(store.isLeaseLive(lease).join()).isTrue();
    clock.advanceMillis(200);
    assertThat(store.isLeaseLive(lease).join()).isFalse();
    assertThat(kindOf(store.renewLease(lease))).isEqualTo(Kind.LEASE_EXPIRED);
  }

  /** Guards against a watch that misses a change or never times out. */
  @Test
  void watchSeesTheChangeOrTimesOut() {
    final CompletableFuture<Optional<VersionedValue>> changed = store.watch("k", 0, 20_000);
    store.compareAndSwap("k", 0, bytes("new"), "1").join();
    assertThat(changed.join().orElseThrow().text()).isEqualTo("new");
    long version = changed.join().orElseThrow().version();
    CompletableFuture<Optional<VersionedValue>> unchanged = store.watch("k", version, 20_000);
    store.get("k").join();
    while (!unchanged.isDone()) {
      clock.advanceMillis(20_000);
      store.isLeaseLive(1).join();
    }
    assertThat(unchanged.join()).isEmpty();
  }

  private void fault(String json) {
    standIn.faults().merge(bytes(json));
  }

  private static Kind kindOf(CompletableFuture<?> future) {
    return StoreException.kindOf(assertThrows(CompletionException.class, future::join));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
