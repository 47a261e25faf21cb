package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

final class InstanceRegistryTest {
  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final Blackboard blackboard = new Blackboard();

  @Test
  void registersItselfAndListsTheOthers() {
    start("i1", blackboard);
    start("i2", new Blackboard());
    time.advance(10_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1", "i2");
  }

  @Test
  void keepsTheLastViewWhileTheStoreIsUnreachable() {
    start("i1", blackboard);
    start("i2", new Blackboard());
    time.advance(10_000);
    store.failWith(Kind.UNAVAILABLE);
    time.advance(60_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1", "i2");
  }

  @Test
  void keepsDeregisteredInstancesAsLapsedForALimitedTime() {
    start("i1", blackboard);
    InstanceRegistry second = start("i2", new Blackboard());
    time.advance(10_000);
    var unused = second.stop();
    time.advance(5_000);
    assertThat(blackboard.read(FleetView.ENTRY).listed().keySet()).containsExactly("i1");
    assertThat(blackboard.read(FleetView.ENTRY).lapsed().keySet()).containsExactly("i2");
    assertThat(blackboard.read(FleetView.ENTRY).processorShares())
        .containsExactly("i1", 0.36, "i2", 0.36);
    time.advance(10_000);
    assertThat(blackboard.read(FleetView.ENTRY).lapsed()).isEmpty();
  }

  /** Guards against two owners: the others choose another one in place of a lapsed instance. */
  @Test
  void aLapsedInstanceListsItselfNoLongerThanTheOthersDo() {
    start("i1", blackboard);
    start("i2", new Blackboard());
    time.advance(10_000);
    store.remove(InstanceRegistry.PREFIX + "i1");
    store.failWritesWith(Kind.UNAVAILABLE);
    time.advance(5_000);
    assertThat(blackboard.read(FleetView.ENTRY).listed().keySet()).containsExactly("i2");
    assertThat(blackboard.read(FleetView.ENTRY).lapsed().keySet()).containsExactly("i1");
    time.advance(10_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i2");
    store.failWritesWith(null);
    time.advance(5_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1", "i2");
  }

  @Test
  void ignoresUnreadableRegistrations() {
    start("i1", blackboard);
    var unused =
        store.apply(
            StoreTransaction.put(
                InstanceRegistry.PREFIX + "i9", new byte[] {1, 2}, OptionalLong.empty()));
    time.advance(10_000);
    assertThat(blackboard.read(FleetView.ENTRY).instanceIds()).containsExactly("i1");
  }

  private InstanceRegistry start(String id, Blackboard target) {
    StoreView view =
        new StoreView(
            store,
            new StoreChangeSource(store, StoreView.ALL_KEYS, () -> 4_000, time),
            (newer, older) -> false,
            time,
            time,
            new SplittableRandom(5));
    InstanceRegistry registry =
        new InstanceRegistry(
            store,
            view,
            id,
            Addresses.parse("127.0.0.1:1"),
            Optional.empty(),
            "domain-a",
            0.36,
            target,
            () -> {},
            time,
            time,
            new SplittableRandom(5));
    view.start();
    registry.start();
    return registry;
  }
}
