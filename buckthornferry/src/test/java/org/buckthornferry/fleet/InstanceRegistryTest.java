package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreChange;
import org.buckthornferry.store.StoreChanges;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StorePage;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

final class InstanceRegistryTest {
  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final Blackboard blackboard = new Blackboard();
  private final Map<String, Double> demand = new HashMap<>();

  @Test
  void registersItselfAndSeesTheOthers() {
    start("i1", blackboard);
    start("i2", new Blackboard());
    time.advance(10_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1", "i2");
  }

  @Test
  void keepsTheLastViewWhileTheStoreIsAway() {
    start("i1", blackboard);
    start("i2", new Blackboard());
    time.advance(10_000);
    store.failWith(Kind.UNAVAILABLE);
    time.advance(60_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1", "i2");
  }

  @Test
  void dividesAllowancesByDemandWithAnEqualPartForAll() {
    Map<String, InstanceRecord> instances =
        Map.of(
            "i1", new InstanceRecord("", Map.of("c", 300.0)),
            "i2", new InstanceRecord("", Map.of("c", 100.0)));
    double first =
        InstanceRegistry.shares(Map.of("c", 300.0), "i1", instances).getOrDefault("c", 0.0);
    double second =
        InstanceRegistry.shares(Map.of("c", 100.0), "i2", instances).getOrDefault("c", 0.0);
    assertThat(first + second).isWithin(1e-9).of(1.0);
    assertThat(first).isGreaterThan(second);
    assertThat(second).isGreaterThan(0.15);
  }

  private void start(String id, Blackboard target) {
    new InstanceRegistry(
            store,
            id,
            "127.0.0.1:1",
            () -> demand,
            target,
            () -> {},
            time,
            time,
            new SplittableRandom(5))
        .start();
  }

  /**
   * Three of eight instances lose the store for up to forty seconds just before a customer sends
   * six times as much. What all instances may use together stays within the stated excess.
   */
  @Test
  void allInstancesTogetherKeepTheAllowanceWhileSomeAreCutOff() {
    ManualScheduler clock = new ManualScheduler();
    FakeSharedStore shared = new FakeSharedStore(clock);
    List<CuttableStore> stores = new ArrayList<>();
    List<Blackboard> boards = new ArrayList<>();
    double[] factor = {1};
    for (int i = 0; i < 8; i++) {
      CuttableStore own = new CuttableStore(shared);
      Blackboard board = new Blackboard();
      stores.add(own);
      boards.add(board);
      double usual = 2_000 + 700 * i;
      new InstanceRegistry(
              own,
              "i" + i,
              "127.0.0.1:1",
              () -> Map.of("c", factor[0] * usual),
              board,
              () -> {},
              clock,
              clock,
              new SplittableRandom(i))
          .start();
    }
    clock.advance(20_000);
    stores.subList(0, 3).forEach(own -> own.cut = true);
    clock.advance(2_000);
    factor[0] = 6;
    for (int t = 0; t < 40_000; t += 250) {
      clock.advance(250);
      double total = 0;
      for (Blackboard board : boards) {
        total += board.read(FleetView.ENTRY).allowanceShare("c");
      }
      assertWithMessage("after %s ms", t).that(total).isAtMost(1.3);
    }
  }

  /** A store that one instance may be unable to reach. */
  private static final class CuttableStore implements SharedStore {
    private final SharedStore store;
    private boolean cut;

    private CuttableStore(SharedStore store) {
      this.store = store;
    }

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
      return cut
          ? CompletableFuture.failedFuture(new StoreException(Kind.UNAVAILABLE, "cut"))
          : call.get();
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, String afterKey) {
      return call(() -> store.list(prefix, afterKey));
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long after, long waitMillis) {
      return call(() -> store.watch(prefix, after, waitMillis));
    }

    @Override
    public CompletableFuture<Long> apply(StoreChange change) {
      return call(() -> store.apply(change));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
      return call(() -> store.grantLease(ttlMillis));
    }

    @Override
    public CompletableFuture<Void> renewLease(long leaseId) {
      return call(() -> store.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Void> endLease(long leaseId) {
      return call(() -> store.endLease(leaseId));
    }
  }
}
