package org.buckthornferry.duty;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Runs the election under random schedules with fixed seeds: instances that are killed, restarted,
 * suspended, cut off and whose clocks jump, a store that is away, late, loses replies and history
 * and is restored from older copies, and a platform that carries calls out late.
 */
@ExtendWith(QuietDutyLog.class)
final class DutyModelTest {
  /** More by hand with {@code -Dduty.schedules}. */
  private static final int SCHEDULES = Integer.getInteger("duty.schedules", 300);

  private static final int FAULTS = 14;
  private static final int INSTANCES = 3;

  /** Time without faults after which there has to be a holder again, in milliseconds. */
  private static final long QUIET_MILLIS = 20_000;

  @Test
  void noScheduleBreaksRules() {
    for (int seed = 0; seed < SCHEDULES; seed++) {
      DutyWorld world = run(seed, DutyWorld.TERMS, FencingTokens::of);
      assertWithMessage("seed %s", seed).that(world.violations).isEmpty();
      assertWithMessage("holders after seed %s", seed).that(world.acting()).hasSize(1);
    }
  }

  /** Guards against a check that cannot find a holder that ignores the end of its lease. */
  @Test
  void findsSendingAfterTheLeaseHasExpired() {
    LeaseTerms faulty = new LeaseTerms(3_000, 60_000, 1_000);
    assertThat(firstViolation(faulty, FencingTokens::of).orElse("none")).contains("sent");
  }

  /**
   * Guards against a check that cannot find a token that stays the same when the holder changes.
   */
  @Test
  void findsTokensThatAreNotRaised() {
    assertThat(firstViolation(DutyWorld.TERMS, position -> position.era() + 1).orElse("none"))
        .contains("gained");
  }

  /** Guards against a check that does not notice that the revision repeats in a restored store. */
  @Test
  void findsTokensWithoutTheEra() {
    assertThat(firstViolation(DutyWorld.TERMS, StorePosition::revision).orElse("none"))
        .contains("gained");
  }

  private static Optional<String> firstViolation(
      LeaseTerms terms, ToLongFunction<StorePosition> tokens) {
    for (int seed = 0; seed < SCHEDULES; seed++) {
      List<String> violations = run(seed, terms, tokens).violations;
      if (!violations.isEmpty()) {
        return Optional.of(violations.get(0));
      }
    }
    return Optional.empty();
  }

  private static DutyWorld run(long seed, LeaseTerms terms, ToLongFunction<StorePosition> tokens) {
    DutyWorld world = new DutyWorld(seed, terms, tokens);
    for (int i = 0; i < INSTANCES; i++) {
      world.start("i" + i);
    }
    world.lateShare = world.random.nextInt(4) * 0.1;
    for (int fault = 0; fault < FAULTS; fault++) {
      world.time.advance(world.random.nextLong(4_000));
      inject(world);
    }
    world.lateShare = 0;
    world.time.advance(QUIET_MILLIS);
    return world;
  }

  private static void inject(DutyWorld world) {
    List<String> acting = world.acting();
    String anyone = "i" + world.random.nextInt(INSTANCES);
    // Faults of the holder are the interesting ones.
    String id = acting.isEmpty() || world.random.nextInt(3) == 0 ? anyone : acting.get(0);
    DutyWorld.Member member = world.members.get(id);
    long millis = world.random.nextLong(6_000);
    switch (world.random.nextInt(10)) {
      case 0 -> {
        world.kill(id);
        world.time.schedule(() -> world.start(id), millis);
      }
      case 1 ->
          List.copyOf(world.members.keySet())
              .forEach(
                  each -> {
                    world.kill(each);
                    world.time.schedule(() -> world.start(each), millis);
                  });
      case 2 -> {
        if (!member.node.isSuspended()) {
          member.node.suspend();
          world.time.schedule(member.node::resume, millis);
        }
      }
      case 3 -> {
        member.node.cutFromStore(true);
        world.time.schedule(() -> member.node.cutFromStore(false), millis);
      }
      case 4 -> {
        world.store.failWith(world.random.nextBoolean() ? Kind.UNAVAILABLE : Kind.OUTCOME_UNKNOWN);
        world.time.schedule(() -> world.store.failWith(null), millis);
      }
      case 5, 6 -> world.restoreCopy(1 + world.random.nextInt(6));
      case 7 -> world.store.forgetHistory();
      case 8 ->
          member.wallOffsetMillis +=
              world.random.nextLong(world.isMachineSuspended ? 0 : -6_000, 6_000);
      default -> {
        if (!member.node.isDead()) {
          var unused = member.holder.stop();
          member.node.schedule(
              () -> {
                world.kill(id);
                world.start(id);
              },
              millis);
        }
      }
    }
  }
}
