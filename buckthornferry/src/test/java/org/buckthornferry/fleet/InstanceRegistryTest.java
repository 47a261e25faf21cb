package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

final class InstanceRegistryTest {
  private final FakeSharedStore store = new FakeSharedStore();
  private final ManualScheduler time = new ManualScheduler();
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
            store, id, "127.0.0.1:1", () -> demand, target, () -> {}, time, new SplittableRandom(5))
        .start();
  }
}
