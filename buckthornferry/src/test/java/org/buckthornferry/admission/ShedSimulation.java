package org.buckthornferry.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;

/**
 * A seeded simulation of shed controllers over a network that loses, duplicates, reorders and
 * delays messages, while instances pause, crash, restart and join. The membership views are
 * computed from the simulation with a lag; they declare a silent instance dead after 3 s.
 */
final class ShedSimulation {
  private static final String SERVICE = "model";
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long DEAD_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long MAX_VIEW_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final SplittableRandom random;
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<InFlightMessage> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(InFlightMessage::atNanos)
              .thenComparingLong(InFlightMessage::sequence));
  private final double lossRate;
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private long sequence;
  private int sheds;
  private ShedLevel highest = ShedLevel.NONE;

  private record InFlightMessage(
      long atNanos,
      long sequence,
      String from,
      String to,
      long toIncarnation,
      PeerMessage message) {}

  private static final class Instance {
    final String id;
    long incarnation;
    boolean crashed;
    long pausedUntilNanos;
    long silentSinceNanos;
    long startedNanos;
    long lastSeenNanos;
    boolean restarted;
    MembershipView lastView;
    long lastViewCode;
    Consumer<MembershipView> view;
    ShedController controller;
    Tier requestedTier;

    Instance(String id) {
      this.id = id;
    }

    /** Returns whether the observer knows the current process and not only an earlier one. */
    boolean isSeen(Instance observer, long nowNanos) {
      return observer == this || nowNanos - startedNanos >= lag(observer, this);
    }

    boolean isRunning(long nowNanos) {
      return !crashed && pausedUntilNanos <= nowNanos;
    }
  }

  ShedSimulation(long seed) {
    random = new SplittableRandom(seed);
    lossRate = random.nextDouble() * 0.3;
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance("i" + i);
      instances.add(instance);
      start(instance);
    }
  }

  /** Runs the simulation; returns the first violation, or null. */
  String run(int steps) {
    for (int step = 0; step < steps; step++) {
      nowNanos += STEP_NANOS;
      injectFaults();
      deliver();
      String violation = runInstances();
      if (violation != null) {
        return violation;
      }
    }
    return null;
  }

  int sheds() {
    return sheds;
  }

  ShedLevel highest() {
    return highest;
  }

  private void start(Instance instance) {
    instance.incarnation++;
    instance.restarted = instance.incarnation > 1;
    instance.lastSeenNanos = instance.silentSinceNanos;
    instance.lastView = null;
    instance.crashed = false;
    instance.pausedUntilNanos = 0;
    instance.startedNanos = nowNanos;
    Blackboard blackboard = new Blackboard();
    instance.view = blackboard.writerOf(MembershipView.ENTRY);
    instance.controller =
        new ShedController(
            instance.id,
            instance.incarnation,
            blackboard,
            (to, message) -> send(instance.id, to, message));
    instance.view.accept(viewOf(instance));
    instance.controller.serve(SERVICE, nowNanos);
  }

  private void injectFaults() {
    Instance instance = instances.get(random.nextInt(instances.size()));
    double chance = random.nextDouble();
    if (instance.crashed) {
      if (chance < 0.05 && nowNanos - instance.silentSinceNanos > STEP_NANOS) {
        start(instance);
      }
    } else if (instance.isRunning(nowNanos)) {
      if (chance < 0.004) {
        instance.crashed = true;
        instance.silentSinceNanos = nowNanos;
      } else if (chance < 0.02) {
        instance.silentSinceNanos = nowNanos;
        instance.pausedUntilNanos = nowNanos + (long) (random.nextDouble() * 7e9);
      }
    }
    if (random.nextDouble() < 0.05) {
      instances.get(random.nextInt(instances.size())).requestedTier = randomRequestedTier();
    }
    if (random.nextDouble() < 0.004 && instances.size() < 7) {
      Instance added = new Instance("i" + instances.size());
      instances.add(added);
      start(added);
    }
  }

  private Tier randomRequestedTier() {
    return switch (random.nextInt(5)) {
      case 0 -> Tier.BULK;
      case 1 -> Tier.STANDARD;
      case 2 -> Tier.CRITICAL;
      default -> null;
    };
  }

  private void send(String from, String to, PeerMessage message) {
    for (int copy = 0; copy < 2; copy++) {
      boolean isSent = copy == 0 || random.nextDouble() < 0.1;
      if (isSent && random.nextDouble() >= lossRate) {
        double delay = random.nextDouble() < 0.05 ? 3e9 : 80e6;
        long atNanos = nowNanos + (long) (random.nextDouble() * delay);
        inFlight.add(
            new InFlightMessage(atNanos, sequence++, from, to, incarnationOf(to), message));
      }
    }
  }

  private long incarnationOf(String id) {
    for (Instance instance : instances) {
      if (instance.id.equals(id)) {
        return instance.incarnation;
      }
    }
    return 0;
  }

  private void deliver() {
    List<InFlightMessage> deferred = new ArrayList<>();
    while (!inFlight.isEmpty() && inFlight.peek().atNanos() <= nowNanos) {
      InFlightMessage due = inFlight.poll();
      Instance to = instanceOf(due.to());
      // A connection ends with its process, so a restarted process receives no older messages.
      if (to == null || to.crashed || to.incarnation != due.toIncarnation()) {
        continue;
      }
      if (to.isRunning(nowNanos)) {
        to.controller.onMessage(due.from(), due.message(), nowNanos);
      } else {
        deferred.add(
            new InFlightMessage(
                to.pausedUntilNanos,
                due.sequence(),
                due.from(),
                due.to(),
                due.toIncarnation(),
                due.message()));
      }
    }
    inFlight.addAll(deferred);
  }

  private Instance instanceOf(String id) {
    for (Instance instance : instances) {
      if (instance.id.equals(id)) {
        return instance;
      }
    }
    return null;
  }

  private String runInstances() {
    for (Instance instance : instances) {
      if (!instance.isRunning(nowNanos)) {
        continue;
      }
      // A resumed process may act before its first tick, with an outdated membership view.
      String violation = check(instance);
      if (violation != null) {
        return violation;
      }
      instance.view.accept(viewOf(instance));
      violation = check(instance);
      if (violation != null) {
        return violation;
      }
      if (instance.requestedTier != null) {
        instance.controller.requestShedding(SERVICE, instance.requestedTier, nowNanos);
      }
      instance.controller.observeWait(SERVICE, instance.requestedTier == null, nowNanos);
      instance.controller.onTick(nowNanos);
      violation = check(instance);
      if (violation != null) {
        return violation;
      }
    }
    return null;
  }

  private String check(Instance shedder) {
    if (!shedder.controller.isReady(SERVICE, nowNanos)) {
      return null;
    }
    for (Tier tier : Tier.values()) {
      boolean sheds =
          shedder.controller.inForce(SERVICE, nowNanos).permitsShedding(tier)
              || shedder.controller.mustRefuse(SERVICE, tier, nowNanos);
      if (sheds) {
        this.sheds++;
        highest = ShedLevel.max(highest, ShedLevel.of(tier));
        String violation = checkOthers(shedder, tier);
        if (violation != null) {
          return violation;
        }
      }
    }
    return null;
  }

  private String checkOthers(Instance shedder, Tier shed) {
    for (Instance other : instances) {
      boolean serves = other.isRunning(nowNanos) && other.controller.isReady(SERVICE, nowNanos);
      for (Tier lower : Tier.values()) {
        if (serves
            && shed.isAbove(lower)
            && !other.controller.mustRefuse(SERVICE, lower, nowNanos)) {
          return shedder.id + " sheds " + shed + " while " + other.id + " accepts " + lower;
        }
      }
    }
    return null;
  }

  private MembershipView viewOf(Instance observer) {
    long code = 1;
    for (Instance instance : instances) {
      MemberState state = stateOf(observer, instance);
      int digit = state == null ? 0 : state == MemberState.DEAD ? 1 : 2;
      code = 3 * code + (instance.isSeen(observer, nowNanos) ? 0 : 1_000_003) + digit;
    }
    if (observer.lastView == null || observer.lastViewCode != code) {
      observer.lastViewCode = code;
      observer.lastView = newViewOf(observer);
    }
    return observer.lastView;
  }

  private MembershipView newViewOf(Instance observer) {
    Map<String, Member> members = new TreeMap<>();
    for (Instance instance : instances) {
      MemberState state = stateOf(observer, instance);
      if (state != null) {
        long incarnation =
            instance.isSeen(observer, nowNanos) ? instance.incarnation : instance.incarnation - 1;
        members.put(
            instance.id,
            new Member(instance.id, "127.0.0.1:1", "kol-a", "kol", incarnation, 0, state, true, 0));
      }
    }
    return new MembershipView(observer.id, members, Set.of());
  }

  /** Returns the state that the observer sees, or null if it does not know the member. */
  private MemberState stateOf(Instance observer, Instance instance) {
    long deadNanos = DEAD_AFTER_NANOS + lag(observer, instance);
    if (!instance.isSeen(observer, nowNanos)) {
      if (!instance.restarted) {
        return null;
      }
      boolean dead = nowNanos - instance.lastSeenNanos >= deadNanos;
      return dead ? MemberState.DEAD : MemberState.ALIVE;
    }
    boolean silent = instance.crashed || instance.pausedUntilNanos > nowNanos;
    boolean dead = silent && nowNanos - instance.silentSinceNanos >= deadNanos;
    return dead ? MemberState.DEAD : MemberState.ALIVE;
  }

  /** A new instance sees the others at once; each of them sees it after a lag of its own. */
  private static long lag(Instance observer, Instance instance) {
    if (observer.startedNanos >= instance.startedNanos) {
      return 0;
    }
    int mixed = (observer.id + instance.id).hashCode() * 0x9E3779B9;
    return Math.floorMod(mixed, MAX_VIEW_LAG_NANOS);
  }
}
