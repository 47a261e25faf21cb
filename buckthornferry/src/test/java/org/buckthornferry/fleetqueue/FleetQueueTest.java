package org.buckthornferry.fleetqueue;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.concurrency.CapacityModel;
import org.buckthornferry.concurrency.LimitPolicy;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.error.ErrorKind;
import org.junit.jupiter.api.Test;

final class FleetQueueTest {
  private static final long GOAL_MILLIS = 1_000;
  private static final long PATIENCE_MILLIS = 4_000;
  private static final long DEADLINE_MILLIS = 12_000;

  private final FleetQueue queue =
      new FleetQueue(
          new CapacityModel(LimitPolicy.LEARNED), VersionPolicy.ANY, new SplittableRandom(1));
  private long nowNanos = TimeUnit.SECONDS.toNanos(100);
  private long lastNumber;

  private static Endpoint endpoint(String id, int slots) {
    return new Endpoint(
        id,
        "s",
        InetSocketAddress.createUnresolved("127.0.0.1", 1),
        "z",
        "v",
        slots,
        false,
        0,
        0,
        0);
  }

  private void setEndpoints(Endpoint... endpoints) {
    queue.setEndpoints(List.of(endpoints), nowNanos);
  }

  private long submit(String instanceId, int routePriority) {
    return submit(instanceId, routePriority, GOAL_MILLIS, false, PromptPrefix.NONE);
  }

  private long submit(
      String instanceId,
      int routePriority,
      long goalMillis,
      boolean hasBeenSent,
      PromptPrefix prefix) {
    return submit(instanceId, routePriority, goalMillis, hasBeenSent, prefix, 0);
  }

  private long submit(
      String instanceId,
      int routePriority,
      long goalMillis,
      boolean hasBeenSent,
      PromptPrefix prefix,
      long expectedTokens) {
    lastNumber++;
    queue.submit(
        instanceId,
        "z",
        new Ticket(
            lastNumber,
            "route" + routePriority,
            new Priority(0, routePriority),
            false,
            new RequestSize(1_000 + prefix.tokens(), 2_000, expectedTokens),
            prefix,
            goalMillis,
            PATIENCE_MILLIS,
            DEADLINE_MILLIS,
            0,
            GOAL_MILLIS - goalMillis,
            hasBeenSent,
            false,
            false,
            Set.of()),
        nowNanos);
    return lastNumber;
  }

  private List<Decision> decide() {
    List<Decision> all = new ArrayList<>();
    queue.decide(nowNanos).values().forEach(all::addAll);
    return all;
  }

  private List<Long> granted() {
    return decide().stream().filter(Decision::isGranted).map(Decision::ticketNumber).toList();
  }

  private void end(String instanceId, long number, String endpointId, AttemptOutcome outcome) {
    queue.onEnded(
        instanceId, new EndedRun(endpointId, number, outcome, Optional.empty()), nowNanos);
  }

  private void pass(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against an order that depends on which instance asks first. */
  @Test
  void grantsTheNextSlotByPriorityOverAllInstances() {
    setEndpoints(endpoint("e", 1));
    long running = submit("a", 0);
    assertThat(granted()).containsExactly(running);
    long low = submit("a", 2);
    long high = submit("b", 0);
    assertThat(granted()).isEmpty();
    end("a", running, "e", AttemptOutcome.COMPLETED);
    assertThat(granted()).containsExactly(high);
    end("b", high, "e", AttemptOutcome.COMPLETED);
    assertThat(granted()).containsExactly(low);
  }

  /** Guards against late requests that make others late, and against late ones that starve. */
  @Test
  void aLateRequestWaitsForTheNextLevelUntilItsCallerIsAboutToLeave() {
    setEndpoints(endpoint("e", 1));
    long running = submit("a", 0);
    decide();
    long late = submit("a", 0, -500, false, PromptPrefix.NONE);
    long next = submit("b", 1);
    end("a", running, "e", AttemptOutcome.COMPLETED);
    assertThat(granted()).containsExactly(next);
    pass(PATIENCE_MILLIS - 600);
    submit("b", 1);
    end("b", next, "e", AttemptOutcome.COMPLETED);
    assertThat(granted()).containsExactly(late);
  }

  /** Guards against refusals while waiting still pays, and against waits without a chance. */
  @Test
  void refusesOnlyWhenNoSlotCanComeInTime() {
    setEndpoints(endpoint("e", 1));
    submit("a", 0);
    decide();
    long waiting = submit("a", 0);
    pass(PATIENCE_MILLIS / 2);
    assertThat(decide()).isEmpty();
    pass(PATIENCE_MILLIS / 2);
    List<Decision> decisions = decide();
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0).ticketNumber()).isEqualTo(waiting);
    assertThat(decisions.get(0).reason()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    // Callers follow Retry-After up to a third of the time they have left.
    assertThat(decisions.get(0).retryAfterMillis())
        .isAtMost((DEADLINE_MILLIS - PATIENCE_MILLIS) / 3);
  }

  /** Guards against waiting for places that the requests ahead will take. */
  @Test
  void refusesAtOnceWhenTheLineIsLongerThanTheWaitThatPays() {
    setEndpoints(endpoint("e", 1));
    long running = submit("a", 0);
    decide();
    for (int i = 0; i < 3; i++) {
      end("a", running, "e", AttemptOutcome.COMPLETED);
      running = submit("a", 0);
      decide();
      pass(500);
    }
    List<Long> refused = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      submit("b", 2);
      decide().stream()
          .filter(decision -> !decision.isGranted())
          .forEach(decision -> refused.add(decision.ticketNumber()));
    }
    assertThat(refused).isNotEmpty();
  }

  /** Guards against a refusal of a request that may have run. */
  @Test
  void neverRefusesARequestThatHasBeenSent() {
    setEndpoints(endpoint("e", 1));
    submit("a", 0);
    decide();
    submit("a", 2, GOAL_MILLIS, true, PromptPrefix.NONE);
    pass(DEADLINE_MILLIS);
    assertThat(decide()).isEmpty();
  }

  /** Guards against long answers that are never first because short ones keep coming. */
  @Test
  void longAnswersOfARouteKeepAGuaranteedShare() {
    setEndpoints(endpoint("e", 1));
    long running = submit("a", 0, GOAL_MILLIS, false, PromptPrefix.NONE, 100);
    decide();
    Set<Long> longTickets = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      boolean isLong = i >= 30 && i % 3 == 0;
      long number = submit("a", 0, GOAL_MILLIS, false, PromptPrefix.NONE, isLong ? 1_000 : 100);
      if (isLong) {
        longTickets.add(number);
      }
    }
    int longGrants = 0;
    // The short answers come first until they have their guaranteed share too.
    for (int i = 0; i < 20; i++) {
      pass(20);
      end("a", running, "e", AttemptOutcome.COMPLETED);
      running = granted().get(0);
      longGrants += longTickets.contains(running) ? 1 : 0;
    }
    assertThat(longGrants).isAtLeast(1);
  }

  /** Guards against slots that stay occupied when an instance or a message is lost. */
  @Test
  void freesWhatAnInstanceDoesNotRunAnyMore() {
    setEndpoints(endpoint("e", 1));
    submit("a", 0);
    decide();
    long second = submit("b", 0);
    assertThat(granted()).isEmpty();
    pass(1_000);
    queue.setRunning("a", Map.of(), nowNanos);
    assertThat(granted()).containsExactly(second);
    long third = submit("c", 0);
    queue.removeInstance("b");
    assertThat(granted()).containsExactly(third);
  }

  /** Guards against repeated rejections by an endpoint whose count is wrong. */
  @Test
  void usesAnotherEndpointAfterARejection() {
    setEndpoints(endpoint("e1", 2), endpoint("e2", 2));
    long first = submit("a", 0);
    Decision decision = decide().get(0);
    end("a", first, decision.endpointId(), AttemptOutcome.FULL);
    submit("a", 0);
    assertThat(decide().get(0).endpointId()).isNotEqualTo(decision.endpointId());
  }

  /** Guards against a shared prompt that each endpoint reads again. */
  @Test
  void placesRequestsThatShareAPromptTogether() {
    setEndpoints(endpoint("e1", 4), endpoint("e2", 4), endpoint("e3", 4));
    PromptPrefix prefix = new PromptPrefix("p", "p", 13_000);
    submit("a", 0, GOAL_MILLIS, false, prefix);
    String endpointId = decide().get(0).endpointId();
    for (int i = 0; i < 3; i++) {
      submit("b" + i, 0, GOAL_MILLIS, false, prefix);
      assertThat(decide().get(0).endpointId()).isEqualTo(endpointId);
    }
  }
}
