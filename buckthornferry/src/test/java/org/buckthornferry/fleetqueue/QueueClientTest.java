package org.buckthornferry.fleetqueue;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.buckthornferry.fleetqueue.QueueFleet.ALL_SLOTS;

import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.fleetqueue.QueueFleet.Instance;
import org.buckthornferry.fleetqueue.QueueFleet.Request;
import org.buckthornferry.fleetqueue.QueueFleet.State;
import org.buckthornferry.testing.QuietFleetLog;
import org.buckthornferry.testing.VirtualInstances;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Guards against lost tickets and slots that stay occupied when a part of the fleet fails. */
@ExtendWith(QuietFleetLog.class)
final class QueueClientTest {
  private final QueueFleet fleet = new QueueFleet(5);
  private final Instance first = fleet.inOrder(0);
  private final Instance second = fleet.inOrder(1);
  private final Instance third = fleet.inOrder(2);
  private final Instance caller = fleet.inOrder(3);
  private final Instance other = fleet.inOrder(4);

  /** Guards against waiting for a timer, a call per ticket, and calls of an idle instance. */
  @Test
  void oneTurnMakesOneCallWithoutDelay() {
    List<Request> requests = fleet.submit(caller, 3);
    fleet.time.advance(4);
    assertStates(requests, State.RUNNING);
    assertThat(caller.calls).containsExactly(PeerMessageKind.QUEUE, 1);
    fleet.time.advance(2_000);
    assertStates(requests, State.DONE);
    int calls = caller.calls.get(PeerMessageKind.QUEUE);
    assertThat(calls).isAtMost(3);
    assertThat(first.coordinates()).isTrue();
    fleet.time.advance(11_000);
    assertThat(caller.calls.get(PeerMessageKind.QUEUE)).isEqualTo(calls);
    assertThat(first.coordinates()).isFalse();
  }

  /** Guards against decisions that wait for the next call of their instance. */
  @Test
  void freedSlotsArePushedToTheInstancesThatWait() {
    List<Request> waiting = fillAndWait(3);
    List<Request> own = fleet.submit(first, 2);
    fleet.time.advance(fleet.runMillis - 11);
    assertStates(waiting, State.WAITING);
    fleet.time.advance(1);
    assertStates(waiting, State.RUNNING);
    assertStates(own, State.RUNNING);
    assertThat(first.calls).containsExactly(PeerMessageKind.QUEUE_DECISIONS, 1);
    assertThat(first.granted()).isEqualTo(ALL_SLOTS + 5);
    assertAllSlotsAreFree(fleet, "");
  }

  /** Guards against a small instance that spends its processor time on the calls of others. */
  @Test
  void anInstanceWithLittleProcessorTimeDoesNotCoordinate() {
    fleet.processorShares.put(first.id, 0.36);
    fleet.applyView();
    fleet.submit(caller, 2);
    fleet.time.advance(10);
    assertThat(first.coordinates()).isFalse();
    assertThat(second.coordinates()).isTrue();
  }

  @Test
  void ticketsMoveToTheNextInstanceWhenTheCoordinatorDies() {
    List<Request> requests = fleet.submit(caller, 2 * ALL_SLOTS);
    fleet.time.advance(50);
    first.kill();
    fleet.time.advance(500);
    assertThat(second.coordinates()).isTrue();
    fleet.time.advance(1_000);
    assertStates(requests, State.DONE);
    assertAllSlotsAreFree(fleet, "");
  }

  /** Guards against late grants of a resumed coordinator, and against never using it again. */
  @Test
  void ticketsMoveToTheNextInstanceWhileTheCoordinatorIsSilent() {
    List<Request> requests = fleet.submit(caller, 3 * ALL_SLOTS);
    fleet.time.advance(50);
    first.process.suspend();
    fleet.time.advance(500);
    assertThat(second.coordinates()).isTrue();
    first.process.resume();
    fleet.time.advance(1_000);
    assertStates(requests, State.DONE);
    fleet.runMillis = 3_000;
    fleet.submit(caller, 3 * ALL_SLOTS);
    fleet.time.advance(15_000);
    assertThat(caller.clients.describe().get(QueueFleet.SERVICE))
        .contains("coordinator=" + first.id);
    assertAllSlotsAreFree(fleet, "");
  }

  /** A new process at the same address knows neither tickets nor runs. */
  @Test
  void ticketsAreSubmittedAgainWhenTheCoordinatorIsRestarted() {
    List<Request> requests = fleet.submit(caller, 3 * ALL_SLOTS);
    fleet.time.advance(50);
    first.kill();
    Instance restarted = fleet.start(first.id);
    fleet.time.advance(1_300);
    assertThat(restarted.coordinates()).isTrue();
    assertThat(second.coordinates()).isFalse();
    assertStates(requests, State.DONE);
    assertThat(fleet.rejections).isEqualTo(0);
    assertAllSlotsAreFree(fleet, "");
  }

  @Test
  void twoCoordinatorsCostRejectionsOnly() {
    fleet.hide(first.id, other);
    List<Request> requests = fleet.submit(caller, 2 * ALL_SLOTS);
    requests.addAll(fleet.submit(other, 2 * ALL_SLOTS));
    fleet.time.advance(50);
    assertThat(first.coordinates() && second.coordinates()).isTrue();
    fleet.time.advance(5_000);
    assertThat(fleet.rejections).isGreaterThan(0);
    assertStates(requests, State.DONE);
    fleet.applyView();
    assertAllSlotsAreFree(fleet, "");
  }

  @Test
  void twoSilentCoordinatorsLeaveTheTicketsToTheLocalScheduler() {
    first.process.suspend();
    second.process.suspend();
    List<Request> requests = fleet.submit(caller, 2);
    fleet.time.advance(2 * QueueCalls.TIMEOUT_MILLIS - 1);
    assertStates(requests, State.WAITING);
    fleet.time.advance(2);
    assertStates(requests, State.LOCAL);
    assertThat(caller.client.isAvailable()).isFalse();
    fleet.time.advance(410);
    assertThat(third.coordinates() && caller.client.isAvailable()).isTrue();
    first.process.resume();
    second.process.resume();
    assertAllSlotsAreFree(fleet, "");
  }

  /** Guards against a request that waits until its deadline for a grant that was lost. */
  @Test
  void aLostPushIsRepeatedInTheReplyToTheNextCall() {
    other.losesPushes = true;
    List<Request> waiting = fillAndWait(3);
    fleet.time.advance(fleet.runMillis + 500);
    assertStates(waiting, State.DONE, State.RUNNING);
    assertThat(first.granted()).isEqualTo(ALL_SLOTS + 3);
    assertAllSlotsAreFree(fleet, "");
  }

  /** Guards against freeing the slot of a request that runs. */
  @Test
  void aRepeatedGrantIsIgnored() {
    other.losesAcknowledgements = true;
    List<Request> waiting = fillAndWait(3);
    fleet.runMillis = 2_000;
    fleet.time.advance(800);
    fleet.submit(other, ALL_SLOTS);
    fleet.time.advance(600);
    assertStates(waiting, State.RUNNING);
    assertThat(fleet.running()).isEqualTo(ALL_SLOTS);
    assertThat(fleet.rejections).isEqualTo(0);
    assertAllSlotsAreFree(fleet, "");
  }

  @Test
  void ticketsAndRunsOfAnInstanceThatEndsAreDropped() {
    fleet.runMillis = 60_000;
    List<Request> waiting = fillAndWait(2);
    fleet.runMillis = 100;
    caller.kill();
    fleet.time.advance(2_500);
    assertStates(waiting, State.WAITING);
    fleet.time.advance(1_200);
    assertStates(waiting, State.DONE);
    assertAllSlotsAreFree(fleet, "");
  }

  @Test
  void ticketsAndRunsOfAnUnregisteredInstanceAreDroppedAtOnce() {
    fleet.runMillis = 60_000;
    List<Request> waiting = fillAndWait(2);
    caller.kill();
    fleet.unlist(caller.id);
    fleet.time.advance(5);
    assertStates(waiting, State.RUNNING);
  }

  /** The tickets are withdrawn while their grants are on the way. */
  @Test
  void aGrantOfAWithdrawnTicketIsReportedAsUnused() {
    List<Request> withdrawn = fleet.submit(caller, ALL_SLOTS);
    fleet.time.advance(3);
    withdrawn.forEach(Request::withdraw);
    List<Request> waiting = fleet.submit(other, ALL_SLOTS);
    fleet.time.advance(7);
    assertStates(waiting, State.RUNNING);
    assertAllSlotsAreFree(fleet, "");
  }

  /** Combines the failures in random order; each seed is a different one. */
  @Test
  void randomFailuresLoseNoTicketAndNoSlot() {
    for (int seed = 1; seed <= 60; seed++) {
      QueueFleet random = new QueueFleet(6);
      runWithFailures(random, new SplittableRandom(seed));
      for (Request request : random.requests) {
        assertWithMessage("seed %s request %s waits", seed, request.number)
            .that(request.state == State.WAITING && !request.instance.process.isDead())
            .isFalse();
      }
      assertAllSlotsAreFree(random, "seed " + seed);
    }
  }

  private static void runWithFailures(QueueFleet fleet, SplittableRandom random) {
    List<String> ids = List.copyOf(fleet.instances.keySet());
    for (int step = 0; step < 400; step++) {
      Instance instance = fleet.instances.get(ids.get(random.nextInt(ids.size())));
      switch (random.nextInt(40)) {
        case 0 -> {
          instance.kill();
          fleet.start(instance.id);
        }
        case 1 -> resume(instance).suspend();
        case 2, 3 -> resume(instance);
        case 4 -> instance.losesPushes = !instance.losesPushes;
        case 5 -> instance.losesAcknowledgements = !instance.losesAcknowledgements;
        case 6 -> fleet.hide(ids.get(random.nextInt(ids.size())), instance);
        case 7, 8 ->
            instance.requests.values().stream()
                .filter(request -> request.state == State.WAITING)
                .findFirst()
                .ifPresent(Request::withdraw);
        default -> fleet.submit(instance, 1);
      }
      fleet.time.advance(random.nextInt(30));
    }
    for (Instance instance : fleet.instances.values()) {
      instance.losesPushes = false;
      instance.losesAcknowledgements = false;
      resume(instance);
    }
    fleet.applyView();
    fleet.time.advance(15_000);
  }

  private static VirtualInstances.Node resume(Instance instance) {
    if (instance.process.isSuspended()) {
      instance.process.resume();
    }
    return instance.process;
  }

  /** Fills all slots with requests of one instance, then lets another one wait. */
  private List<Request> fillAndWait(int count) {
    fleet.submit(caller, ALL_SLOTS);
    fleet.time.advance(10);
    List<Request> waiting = fleet.submit(other, count);
    fleet.time.advance(8);
    return waiting;
  }

  private static void assertStates(List<Request> requests, State... states) {
    for (Request request : requests) {
      assertWithMessage("request %s", request.number).that(request.state).isIn(List.of(states));
    }
  }

  /** Fills all slots at once, which fails if the coordinator counts one that is not in use. */
  private static void assertAllSlotsAreFree(QueueFleet fleet, String message) {
    fleet.time.advance(10_000);
    assertWithMessage(message).that(fleet.running()).isEqualTo(0);
    fleet.runMillis = 1_000;
    int rejections = fleet.rejections;
    List<Instance> alive =
        fleet.instances.values().stream().filter(each -> !each.process.isDead()).toList();
    assertStates(fleet.submit(alive.get(0), ALL_SLOTS), State.WAITING);
    fleet.time.advance(10);
    assertWithMessage(message).that(fleet.running()).isEqualTo(ALL_SLOTS);
    assertWithMessage(message).that(fleet.rejections).isEqualTo(rejections);
  }
}
