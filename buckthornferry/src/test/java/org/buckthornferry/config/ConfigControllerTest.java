package org.buckthornferry.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.peer.ConfigReply;
import org.buckthornferry.peer.ConfigRequest;
import org.buckthornferry.testing.FakeFleet;
import org.buckthornferry.testing.FakeInstance;
import org.buckthornferry.testing.FakeStoreClient;

class ConfigControllerTest {
  private static final EncodedRevision FIRST =
      EncodedRevision.NONE.next("one", TestDeclarations.withWeight(1));
  private static final EncodedRevision SECOND = FIRST.next("two", TestDeclarations.withWeight(2));

  /** A controller whose store is down and whose four peers are simulated by the test. */
  private static final class NewInstance {
    final FakeFleet fleet = new FakeFleet(1, 10);
    final List<ConfigRequest> sent = new ArrayList<>();
    final Blackboard blackboard = new Blackboard();
    final ConfigController controller;

    NewInstance() {
      fleet.storeDown = true;
      Map<String, Member> members = new TreeMap<>();
      for (String id : List.of("a", "b", "c", "d", "self")) {
        members.put(
            id, new Member(id, id + ":1", "kol-a", "kol", 1, 0, MemberState.ALIVE, false, 0));
      }
      blackboard
          .writerOf(MembershipView.ENTRY)
          .accept(new MembershipView("self", members, java.util.Set.of()));
      controller =
          new ConfigController(
              new LocalInstance("self", "self:1", "kol-a", "kol", 1),
              blackboard,
              new FakeStoreClient(fleet, null),
              (to, message) -> {
                if (message instanceof ConfigRequest request) {
                  sent.add(request);
                }
              },
              new StoreReachability(fleet::nowNanos),
              new Random(1));
      runMillis(100);
    }

    void runMillis(long millis) {
      for (long i = 0; i < millis; i += 10) {
        controller.onTick(fleet.nowNanos());
        fleet.runMillis(10);
      }
    }

    void reply(String from, EncodedRevision revision, boolean ready, long nonceChange) {
      long nonce = sent.get(0).nonce() + nonceChange;
      controller.onMessage(
          from,
          new ConfigReply(
              revision.snapshot().revision(),
              revision.snapshot().digest(),
              ready,
              nonce,
              revision.bytes()),
          fleet.nowNanos());
    }

    long revision() {
      return blackboard.read(ConfigSnapshot.ENTRY).revision();
    }
  }

  /** With the store down, replies of two of four peers are not a majority. */
  @Example
  void newInstanceServesOnlyAfterMajorityReplied() {
    NewInstance instance = new NewInstance();
    instance.reply("a", FIRST, true, 0);
    instance.reply("b", FIRST, true, 0);
    instance.runMillis(1_500);
    assertThat(instance.controller.isReady()).isFalse();
    instance.reply("a", FIRST, true, 0);
    instance.reply("b", FIRST, true, 0);
    instance.reply("c", SECOND, true, 0);
    instance.runMillis(1_500);
    assertThat(instance.revision()).isEqualTo(2);
    assertThat(instance.controller.isReady()).isTrue();
  }

  /** Instances that are still starting may hold an old revision, so they are not counted. */
  @Example
  void repliesOfStartingInstancesDoNotCount() {
    NewInstance instance = new NewInstance();
    for (String id : List.of("a", "b", "c", "d")) {
      instance.reply(id, FIRST, false, 0);
    }
    instance.runMillis(1_500);
    assertThat(instance.controller.isReady()).isFalse();
  }

  /** Replies to an earlier process with the same instance id carry another nonce. */
  @Example
  void repliesToPreviousProcessDoNotCount() {
    NewInstance instance = new NewInstance();
    for (String id : List.of("a", "b", "c", "d")) {
      instance.reply(id, FIRST, true, 1);
    }
    instance.runMillis(1_500);
    assertThat(instance.controller.isReady()).isFalse();
  }

  /** Replies received more than 2 s apart must not form a majority. */
  @Example
  void repliesCountForTwoSecondsOnly() {
    NewInstance instance = new NewInstance();
    instance.reply("a", FIRST, true, 0);
    instance.reply("b", FIRST, true, 0);
    instance.runMillis(2_500);
    instance.reply("c", FIRST, true, 0);
    instance.runMillis(500);
    assertThat(instance.controller.isReady()).isFalse();
  }

  /** The body may be corrupted or belong to another revision. */
  @Example
  void bodyWithWrongDigestIsIgnored() {
    NewInstance instance = new NewInstance();
    instance.controller.onMessage(
        "a",
        new ConfigReply(2, FIRST.snapshot().digest(), true, 0, SECOND.bytes()),
        instance.fleet.nowNanos());
    instance.runMillis(1_500);
    assertThat(instance.revision()).isEqualTo(0);
  }

  private static FakeFleet fleet(int size) {
    FakeFleet fleet = new FakeFleet(2, 10);
    for (int i = 0; i < size; i++) {
      fleet.start("i" + i, "kol-" + i % 3, "kol");
    }
    publish(fleet, 1);
    fleet.runMillis(5_000);
    return fleet;
  }

  private static void publish(FakeFleet fleet, int weight) {
    var unused =
        new Publisher(
                new FakeStoreClient(fleet, null), new Random(weight), task -> fleet.after(50, task))
            .publish(TestDeclarations.withWeight(weight));
  }

  /**
   * An instance that is the only holder of a revision must not apply it at once, but must apply it
   * after one second, because it can still reach the store.
   */
  @Example
  void revisionIsAppliedOnlyAfterTheMajorityHoldsItOrOneSecond() {
    FakeFleet fleet = fleet(5);
    final FakeInstance isolated = fleet.instances.get("i2");
    fleet.cut = (from, to) -> from == isolated || to == isolated;
    fleet.storeCut = instance -> instance != isolated;
    fleet.runMillis(5_000);
    publish(fleet, 2);
    fleet.runMillis(800);
    assertThat(isolated.config.dump().get("heldRevision")).isEqualTo(2L);
    assertThat(isolated.snapshot().revision()).isEqualTo(1);
    fleet.runMillis(300);
    assertThat(isolated.snapshot().revision()).isEqualTo(2);
    fleet.cut = (from, to) -> false;
    fleet.runMillis(2_000);
    fleet.instances.values().forEach(i -> assertThat(i.snapshot().revision()).isEqualTo(2));
  }

  /** When most instances restart during a store outage, no majority of started ones is left. */
  @Example
  void instancesWithoutMajorityWaitForTheStore() {
    FakeFleet fleet = fleet(5);
    fleet.storeDown = true;
    for (int i = 0; i < 3; i++) {
      fleet.crash("i" + i);
      fleet.start("i" + i, "kol-" + i, "kol");
    }
    fleet.runMillis(10_000);
    assertThat(fleet.instances.get("i0").config.isReady()).isFalse();
    assertThat(fleet.instances.get("i4").config.isReady()).isTrue();
    fleet.storeDown = false;
    fleet.runMillis(5_000);
    fleet.instances.values().forEach(i -> assertThat(i.config.isReady()).isTrue());
  }

  /** Limits the load on the store to two watchers per region, whatever its size. */
  @Example
  void atMostTwoInstancesOfRegionWatchTheStore() {
    FakeFleet fleet = fleet(12);
    fleet.runMillis(5_000);
    fleet.storeCalls = 0;
    for (int i = 0; i < 100; i++) {
      fleet.runMillis(100);
      assertThat(fleet.watchesWaiting).isAtMost(2);
    }
    assertThat(fleet.storeCalls).isAtMost(15);
  }

  /** A change must be applied within 5 s even when both watchers lose the store. */
  @Example
  void otherInstancesWatchWhenTheWatchersLoseTheStore() {
    FakeFleet fleet = fleet(8);
    List<FakeInstance> watchers = new ArrayList<>();
    for (FakeInstance instance : fleet.instances.values()) {
      if (instance.config.dump().get("watching").equals(true)) {
        watchers.add(instance);
      }
    }
    assertThat(watchers).hasSize(2);
    fleet.storeCut = watchers::contains;
    publish(fleet, 2);
    fleet.runMillis(5_000);
    fleet.instances.values().forEach(i -> assertThat(i.snapshot().revision()).isEqualTo(2));
  }
}
