package org.buckthornferry.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.buckthornferry.testing.FakeFleet;
import org.buckthornferry.testing.FakeInstance;

class MembershipControllerTest {
  private static FakeFleet fleet(long seed, int size) {
    FakeFleet fleet = new FakeFleet(seed, 20);
    for (int i = 0; i < size; i++) {
      start(fleet, i);
    }
    return fleet;
  }

  private static FakeInstance start(FakeFleet fleet, int number) {
    return fleet.start("i" + number, "kol-" + number % 3, "kol");
  }

  /** Describes the running instances that see the member in a state other than expected. */
  private static String disagreements(FakeFleet fleet, String id, MemberState expected) {
    StringBuilder disagreements = new StringBuilder();
    for (FakeInstance instance : fleet.instances.values()) {
      if (instance.stateOf(id) != expected) {
        disagreements
            .append(instance.id())
            .append(" sees ")
            .append(instance.stateOf(id))
            .append(' ');
      }
    }
    return disagreements.toString();
  }

  private static void assertAllSee(FakeFleet fleet, String id, MemberState expected) {
    assertWithMessage("state of " + id).that(disagreements(fleet, id, expected)).isEmpty();
  }

  private static void assertAllAlive(FakeFleet fleet) {
    for (FakeInstance instance : fleet.instances.values()) {
      assertAllSee(fleet, instance.id(), MemberState.ALIVE);
      for (FakeInstance viewer : fleet.instances.values()) {
        if (viewer.region().equals(instance.region())) {
          assertThat(viewer.view().members().get(instance.id()).incarnation())
              .isEqualTo(instance.incarnation());
        }
      }
    }
  }

  /** Fails when any instance sees a member as dead; for runs in which every member is live. */
  private static void failOnDeadMember(FakeFleet fleet) {
    fleet.observer =
        viewer ->
            fleet
                .ids()
                .forEach(
                    id ->
                        assertWithMessage(viewer.id() + " on " + id)
                            .that(viewer.stateOf(id))
                            .isNotEqualTo(MemberState.DEAD));
  }

  /** Guards against members declared dead by message loss alone, which moves ownership. */
  @Property(tries = 30, seed = "1")
  void tenPercentMessageLossDeclaresNoMemberDead(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    FakeFleet fleet = new FakeFleet(seed, 20);
    for (int i = 0; i < 3 + fleet.random.nextInt(20); i++) {
      start(fleet, i);
    }
    fleet.lossPercent = 10;
    fleet.duplicatePercent = 10;
    fleet.maxDelayMillis = 100;
    fleet.runMillis(3_000);
    failOnDeadMember(fleet);
    fleet.runMillis(20_000);
    fleet.lossPercent = 0;
    fleet.runMillis(3_000);
    assertAllAlive(fleet);
  }

  /** Guards the detection times of section 4.1, which takeover within 5 s depends on. */
  @Property(tries = 20, seed = "2")
  void crashedMemberIsDeadEverywhereWithinFourSeconds(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    FakeFleet fleet = fleet(seed, 4 + (int) (seed % 40));
    fleet.runMillis(5_000);
    assertAllAlive(fleet);
    fleet.crash("i2");
    fleet.runMillis(700);
    assertAllSee(fleet, "i2", MemberState.ALIVE);
    fleet.runMillis(3_300);
    assertAllSee(fleet, "i2", MemberState.DEAD);
  }

  /** Guards against a stale instance list that marks a dead or leaving member as alive. */
  @Example
  void staleInstanceListDoesNotReviveMembers() {
    FakeFleet fleet = fleet(3, 8);
    fleet.runMillis(4_000);
    fleet.instances.get("i5").membership.announceLeaving();
    fleet.crash("i3");
    fleet.runMillis(5_000);
    fleet.unlist("i3");
    fleet.runMillis(3_000);
    assertThat(fleet.instances.get("i0").view().absentFromList()).containsExactly("i3");
    assertThat(fleet.instances.get("i0").view().hasEnded("i3", 1)).isTrue();
    fleet.staleListPercent = 60;
    for (int i = 0; i < 100; i++) {
      fleet.runMillis(200);
      assertAllSee(fleet, "i3", MemberState.DEAD);
      assertAllSee(fleet, "i5", MemberState.LEAVING);
    }
  }

  /** Guards P10: peers learn of a planned shutdown at once, not by timeout. */
  @Example
  void leavingIsKnownEverywhereWithinOneHeartbeat() {
    FakeFleet fleet = fleet(4, 8);
    fleet.runMillis(4_000);
    fleet.instances.get("i1").membership.announceLeaving();
    fleet.runMillis(50);
    assertAllSee(fleet, "i1", MemberState.LEAVING);
    fleet.crash("i1");
    fleet.runMillis(4_000);
    assertAllSee(fleet, "i1", MemberState.DEAD);
  }

  /**
   * Guards against capacity that stays reserved for an instance that shut down in an orderly way
   * while the instance list still names it.
   */
  @Example
  void listedInstanceHasEndedOnlyAfterAnnouncedDeparture() {
    FakeFleet fleet = fleet(4, 8);
    fleet.runMillis(4_000);
    fleet.instances.get("i1").membership.announceLeaving();
    fleet.runMillis(50);
    fleet.crash("i1");
    fleet.crash("i2");
    fleet.runMillis(4_000);
    MembershipView view = fleet.instances.get("i0").view();
    assertThat(view.hasEnded("i1", view.members().get("i1").incarnation())).isTrue();
    assertThat(view.hasEnded("i2", view.members().get("i2").incarnation())).isFalse();
  }

  /** Guards against a process that others still see as dead after it resumes from a pause. */
  @Example
  void pausedMemberRefutesThatItIsDead() {
    FakeFleet fleet = fleet(5, 8);
    fleet.runMillis(4_000);
    final FakeInstance paused = fleet.instances.get("i4");
    paused.pauseMillis(6_000);
    fleet.runMillis(5_000);
    assertThat(fleet.instances.get("i0").stateOf("i4")).isEqualTo(MemberState.DEAD);
    // The paused process must not count its own pause as silence of the others.
    fleet.observer =
        viewer -> {
          if (viewer == paused) {
            fleet.ids().forEach(id -> assertThat(viewer.stateOf(id)).isEqualTo(MemberState.ALIVE));
          }
        };
    fleet.runMillis(3_500);
    assertAllAlive(fleet);
    assertThat(paused.view().members().get("i4").refutations()).isAtLeast(1L);
  }

  /** Guards against two halves of a region that see each other as dead after a partition ends. */
  @Example
  void partitionedHalvesOfRegionRejoin() {
    FakeFleet fleet = fleet(6, 9);
    fleet.runMillis(4_000);
    fleet.cut =
        (from, to) -> from.failureDomain().equals("kol-0") != to.failureDomain().equals("kol-0");
    fleet.runMillis(8_000);
    assertThat(fleet.instances.get("i0").stateOf("i1")).isEqualTo(MemberState.DEAD);
    assertThat(fleet.instances.get("i0").stateOf("i3")).isEqualTo(MemberState.ALIVE);
    fleet.cut = (from, to) -> false;
    fleet.runMillis(8_000);
    assertAllAlive(fleet);
  }

  /** Guards against a death by one broken link while other peers still hear the member. */
  @Example
  void brokenLinkBetweenTwoMembersDeclaresNoneDead() {
    FakeFleet fleet = fleet(7, 8);
    fleet.runMillis(4_000);
    fleet.cut =
        (from, to) ->
            (from.id().equals("i1") && to.id().equals("i2"))
                || (from.id().equals("i2") && to.id().equals("i1"));
    failOnDeadMember(fleet);
    fleet.runMillis(30_000);
  }

  /** Guards against a restarted process that is taken for the earlier one with the same id. */
  @Example
  void restartedMemberIsSeenWithItsNewIncarnation() {
    FakeFleet fleet = fleet(8, 8);
    fleet.runMillis(4_000);
    long oldIncarnation = fleet.instances.get("i6").incarnation();
    fleet.crash("i6");
    fleet.runMillis(500);
    start(fleet, 6);
    fleet.runMillis(4_000);
    assertAllAlive(fleet);
    assertThat(fleet.instances.get("i0").view().hasEnded("i6", oldIncarnation)).isTrue();
  }

  /** Guards section 4.1: a partitioned region continues to run and rejoins afterwards. */
  @Example
  void partitionedRegionContinuesAndRejoins() {
    FakeFleet fleet = new FakeFleet(9, 20);
    for (int i = 0; i < 12; i++) {
      fleet.start("i" + i, "d" + i % 4, i < 6 ? "east" : "west");
    }
    fleet.runMillis(10_000);
    assertAllAlive(fleet);
    fleet.cut = (from, to) -> !from.region().equals(to.region());
    fleet.runMillis(20_000);
    final FakeInstance east = fleet.instances.get("i0");
    assertThat(east.stateOf("i1")).isEqualTo(MemberState.ALIVE);
    assertThat(east.stateOf("i7")).isEqualTo(MemberState.SUSPECT);
    fleet.crash("i8");
    fleet.runMillis(10_000);
    assertThat(east.stateOf("i8")).isEqualTo(MemberState.SUSPECT);
    fleet.cut = (from, to) -> false;
    fleet.runMillis(12_000);
    assertAllAlive(fleet);
    assertAllSee(fleet, "i8", MemberState.DEAD);
    fleet.instances.get("i9").membership.announceLeaving();
    fleet.runMillis(3_000);
    assertAllSee(fleet, "i9", MemberState.LEAVING);
  }

  /** Guards section 4.3: provisional owners need reports that are at most one second old. */
  @Example
  void storeReportsReachEveryMemberWithinOneSecond() {
    FakeFleet fleet = fleet(10, 60);
    fleet.runMillis(6_000);
    fleet.storeDown = true;
    for (int step = 0; step < 60; step++) {
      fleet.instances.values().stream()
          .filter(instance -> instance.id().length() == 2)
          .forEach(instance -> instance.reachability.record(false));
      fleet.runMillis(100);
    }
    for (FakeInstance viewer : fleet.instances.values()) {
      for (int i = 0; i < 10; i++) {
        Member member = viewer.view().members().get("i" + i);
        assertThat(member.storeReachable()).isFalse();
        assertWithMessage("age at %s of i%s", viewer.id(), i)
            .that(fleet.nowNanos() - member.storeObservedNanos())
            .isLessThan(1_000_000_000L);
      }
    }
  }

  /** Guards the merge rules under random combinations of faults: views converge afterwards. */
  @Property(tries = 120, seed = "11")
  void viewsAgreeAfterFaultsEnd(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    final int size = 4 + (int) (seed % 12);
    FakeFleet fleet = fleet(seed, size);
    fleet.runMillis(3_000);
    Map<String, MemberState> lastingStates = new HashMap<>();
    fleet.observer = viewer -> assertLeavingAndDeadLast(viewer, lastingStates);
    Random random = fleet.random;
    fleet.maxDelayMillis = 1 + random.nextInt(400);
    fleet.staleListPercent = random.nextInt(50);
    for (int step = 0; step < 12; step++) {
      injectFault(fleet, size);
      fleet.runMillis(random.nextInt(1_500));
    }
    fleet.lossPercent = 0;
    fleet.duplicatePercent = 0;
    fleet.staleListPercent = 0;
    fleet.maxDelayMillis = 2;
    fleet.runMillis(20_000);
    for (FakeInstance member : fleet.instances.values()) {
      boolean leaving = member.stateOf(member.id()) == MemberState.LEAVING;
      assertAllSee(fleet, member.id(), leaving ? MemberState.LEAVING : MemberState.ALIVE);
    }
    for (int i = 0; i < size; i++) {
      if (!fleet.instances.containsKey("i" + i)) {
        assertAllSee(fleet, "i" + i, MemberState.DEAD);
      }
    }
  }

  /** Leaving lasts for an incarnation; dead lasts until a refutation or a new incarnation. */
  private static void assertLeavingAndDeadLast(
      FakeInstance viewer, Map<String, MemberState> lastingStates) {
    for (Member member : viewer.view().members().values()) {
      if (member.incarnation() == 0) {
        continue;
      }
      String process =
          viewer.incarnation() + " " + member.instanceId() + " " + member.incarnation();
      if (lastingStates.get(process) == MemberState.LEAVING) {
        assertThat(member.state()).isAnyOf(MemberState.LEAVING, MemberState.DEAD);
      }
      String version = process + " " + member.refutations();
      if (lastingStates.get(version) == MemberState.DEAD) {
        assertThat(member.state()).isEqualTo(MemberState.DEAD);
      }
      if (member.state() == MemberState.LEAVING) {
        lastingStates.put(process, MemberState.LEAVING);
      }
      if (member.state() == MemberState.DEAD) {
        lastingStates.put(version, MemberState.DEAD);
      }
    }
  }

  private static void injectFault(FakeFleet fleet, int size) {
    Random random = fleet.random;
    int number = random.nextInt(size);
    String id = "i" + number;
    FakeInstance instance = fleet.instances.get(id);
    switch (random.nextInt(7)) {
      case 0 -> fleet.crash(id);
      case 1 -> {
        fleet.crash(id);
        start(fleet, number);
      }
      case 2 -> {
        if (instance != null) {
          instance.pauseMillis(random.nextInt(5_000));
        }
      }
      case 3 -> fleet.lossPercent = random.nextInt(60);
      case 4 -> fleet.duplicatePercent = random.nextInt(60);
      case 5 -> {
        if (instance != null) {
          instance.run(instance.membership::announceLeaving);
        }
      }
      default -> {
        int bits = random.nextInt();
        fleet.cut = (from, to) -> partitionSide(from, bits) != partitionSide(to, bits);
        fleet.after(random.nextInt(6_000), () -> fleet.cut = (from, to) -> false);
      }
    }
  }

  private static int partitionSide(FakeInstance instance, int bits) {
    return bits >> (instance.id().hashCode() & 31) & 1;
  }
}
