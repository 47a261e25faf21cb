package org.buckthornferry.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.buckthornferry.store.StoreException.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Tests the election of a holder under single faults on virtual time. */
@ExtendWith(QuietDutyLog.class)
final class DutyHolderTest {
  private static final int INSTANCES = 5;

  private final DutyWorld world = DutyWorld.of(INSTANCES);
  private String first;

  @BeforeEach
  void elect() {
    world.time.advance(6_000);
    first = world.onlyActing();
    assertThat(world.members.keySet()).contains(first);
  }

  @AfterEach
  void noRuleIsBroken() {
    assertThat(world.violations).isEmpty();
  }

  /** Guards against holders that flap, and against a price of the election at rest. */
  @Test
  void keepsTheHolderWithOneCallPerSecond() {
    int calls = world.store.calls();
    world.time.advance(60_000);
    assertThat(world.onlyActing()).isEqualTo(first);
    assertThat(world.gained).hasSize(1);
    // Each instance watches with a timeout of one second.
    int watches = INSTANCES * 60;
    assertThat(world.store.calls() - calls - watches).isAtMost(70);
  }

  /** Guards against a change of holder when instances come and go. */
  @Test
  void keepsTheHolderWhenOthersStart() {
    for (int i = 0; i < 8; i++) {
      world.start("new" + i);
    }
    world.time.advance(10_000);
    assertThat(world.onlyActing()).isEqualTo(first);
  }

  /** Guards against a duty without a holder after a death at an unfortunate moment. */
  @Test
  void replacesAHolderThatIsKilledAtAnyMoment() {
    for (int i = 0; i < INSTANCES - 1; i++) {
      String holder = world.onlyActing();
      world.time.advance(170L * i);
      world.kill(holder);
      world.time.advance(4_500);
      assertThat(world.onlyActing()).isNotEqualTo(holder);
      assertThat(world.acting()).hasSize(1);
    }
  }

  /** Guards against a wait for the lease when a holder is replaced as planned. */
  @Test
  void replacesAHolderThatStopsWithinASecond() {
    var unused = world.members.get(first).holder.stop();
    assertThat(world.acting()).isEmpty();
    world.time.advance(1_000);
    assertThat(world.acting()).hasSize(1);
  }

  /** Guards against tokens that start again when no instance remembers them. */
  @Test
  void raisesTheTokenAfterTheLossOfAllInstances() {
    List<String> ids = List.copyOf(world.members.keySet());
    ids.forEach(world::kill);
    world.time.advance(20_000);
    world.store.forgetHistory();
    ids.forEach(world::start);
    world.time.advance(6_000);
    assertThat(world.acting()).hasSize(1);
    assertThat(world.gained).hasSize(2);
  }

  /** Guards against a token that an older copy of the store gives out again. */
  @Test
  void raisesTheTokenAfterTheStoreWasRestoredFromBeforeTheElection() {
    world.restoreCopy(6);
    world.time.advance(1_500);
    // The holder takes over at once: no other instance may have acted.
    assertThat(world.onlyActing()).isEqualTo(first);
    world.time.advance(10_000);
    assertThat(world.gained).hasSize(2);
  }

  /** Guards against acting without the store, and against a change of holder after it is back. */
  @Test
  void stopsWhileTheStoreIsAwayAndGoesOnAfterwards() {
    world.store.failWith(Kind.UNAVAILABLE);
    world.time.advance(3_000);
    assertThat(world.acting()).isEmpty();
    world.time.advance(20_000);
    world.store.failWith(null);
    world.time.advance(8_000);
    assertThat(world.acting()).hasSize(1);
  }

  /** Guards against two holders when one is cut off from the store but not from the platform. */
  @Test
  void stopsWhenOnlyTheHolderLosesTheStore() {
    world.members.get(first).node.cutFromStore(true);
    world.time.advance(2_800);
    assertThat(world.acting()).doesNotContain(first);
    // The last renewal reached the store two seconds after the cut; only the replies are lost.
    world.time.advance(3_500);
    assertThat(world.acting()).hasSize(1);
  }

  /** Guards against an instance that is suspended between two renewals and then acts. */
  @Test
  void doesNotActAfterASuspension() {
    world.members.get(first).node.suspend();
    world.time.advance(6_000);
    String second = world.onlyActing();
    world.members.get(first).node.resume();
    assertThat(world.onlyActing()).isEqualTo(second);
    world.time.advance(10_000);
    assertThat(world.onlyActing()).isEqualTo(second);
  }

  /** Guards against a holder that trusts its lease although its clock jumped. */
  @Test
  void stopsActingWhenItsClockJumpsUntilItHasRenewed() {
    world.members.get(first).wallOffsetMillis += 6_000;
    assertThat(world.acting()).isEmpty();
    world.time.advance(1_500);
    assertThat(world.onlyActing()).isEqualTo(first);
  }

  /** Guards against another use of a token that the platform has rejected. */
  @Test
  void dropsAnOutdatedTokenAtOnceAndGetsAHigherOne() {
    DutyHolder holder = world.members.get(first).holder;
    holder.onReply(holder.fencingToken().orElseThrow(), DutyReply.OUTDATED_TOKEN);
    assertThat(holder.fencingToken()).isEmpty();
    world.time.advance(8_000);
    assertThat(world.acting()).hasSize(1);
    assertThat(world.gained).hasSize(2);
  }

  /** Guards against a holder that does not know that its write was carried out. */
  @Test
  void readsBackAfterALostReply() {
    world.kill(first);
    world.members.forEach((id, member) -> member.node.cutFromStore(!id.equals(first)));
    world.time.advance(2_500);
    world.members.forEach((id, member) -> member.node.cutFromStore(false));
    world.lateShare = 0.5;
    world.time.advance(20_000);
    world.lateShare = 0;
    world.time.advance(8_000);
    assertThat(world.acting()).hasSize(1);
  }
}
