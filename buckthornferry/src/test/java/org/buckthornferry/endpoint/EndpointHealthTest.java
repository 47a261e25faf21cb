package org.buckthornferry.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.buckthornferry.config.EndpointDeclaration;
import org.junit.jupiter.api.Test;

class EndpointHealthTest {
  private static final int MAX_CONCURRENT = 16;
  private static final int COLD_CONCURRENT = 2;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final EndpointDeclaration DECLARATION =
      new EndpointDeclaration(
          "e", "127.0.0.1:1", "kol-a", "v1", "gen1", MAX_CONCURRENT, COLD_CONCURRENT, true);

  private static LoadReport report(long atNanos, boolean cold, long completed) {
    return new LoadReport("e", 1, atNanos, cold, false, 0, completed, 0);
  }

  private static EndpointHealth warm() {
    EndpointHealth health = new EndpointHealth(DECLARATION);
    health.onReport(report(1, false, 100), 1);
    assertThat(health.status().state()).isEqualTo(EndpointState.WARM);
    return health;
  }

  /**
   * Guards against a cold-start budget that more than doubles for as many successes as the budget,
   * or that grows while the endpoint reports a cold start. The model counts successes since the
   * last cold start.
   */
  @Property(seed = "21", tries = 500)
  void coldStartBudgetGrowsOnlyWithSuccesses(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EndpointHealth health = new EndpointHealth(DECLARATION);
    health.onReport(report(1, true, 0), 1);
    long completed = 0;
    long sinceStart = 0;
    for (int i = 2; i < 200; i++) {
      long atNanos = i * SECOND_NANOS;
      int successes = random.nextInt(4);
      boolean cold = random.nextInt(20) == 0;
      completed += successes;
      sinceStart = cold ? 0 : sinceStart + successes;
      health.onReport(report(atNanos, cold, completed), atNanos);
      int allowed = COLD_CONCURRENT;
      long needed = COLD_CONCURRENT;
      while (sinceStart >= needed && allowed < MAX_CONCURRENT) {
        allowed *= 2;
        needed += allowed;
      }
      assertThat(health.status().budgetConcurrent()).isAtMost(allowed);
    }
  }

  /** Guards against full concurrency immediately after a drain. */
  @Test
  void returnsFromDrainWithColdStartBudget() {
    EndpointHealth health = warm();
    health.setDrained(true);
    assertThat(health.status()).isEqualTo(new EndpointStatus(EndpointState.DRAINED, 0));
    health.setDrained(false);
    assertThat(health.status()).isEqualTo(new EndpointStatus(EndpointState.COLD, COLD_CONCURRENT));
  }

  /** Guards against an endpoint that turns cold without reporting it and keeps its full budget. */
  @Test
  void detectsColdStartFromSpeed() {
    EndpointHealth health = warm();
    for (int i = 0; i < 20; i++) {
      health.onSpeed(10);
    }
    health.onSpeed(29);
    health.onSpeed(31);
    health.onSpeed(31);
    assertThat(health.status().state()).isEqualTo(EndpointState.WARM);
    health.onSpeed(31);
    assertThat(health.status()).isEqualTo(new EndpointStatus(EndpointState.COLD, COLD_CONCURRENT));
  }

  /** Guards against a stale report that returns a failed endpoint, and against flapping. */
  @Test
  void failedEndpointReturnsAfterIncreasingDelays() {
    EndpointHealth health = warm();
    long now = 10 * SECOND_NANOS;
    long previousDelay = 0;
    for (int failure = 0; failure < 5; failure++) {
      health.onCrash(now);
      health.onReport(report(now - 1, false, 200), now);
      assertThat(health.status().state()).isEqualTo(EndpointState.FAILED);
      long failedAt = now;
      while (health.status().state() == EndpointState.FAILED) {
        now += SECOND_NANOS / 10;
        health.onReport(report(now, false, 200), now);
      }
      assertThat(health.status().budgetConcurrent()).isEqualTo(COLD_CONCURRENT);
      assertThat(now - failedAt).isGreaterThan(previousDelay);
      previousDelay = now - failedAt;
    }
  }

  /**
   * Guards against a new owner that ends the cold start because the endpoint reports it is warm.
   */
  @Test
  void newOwnerKeepsColdStartBudget() {
    EndpointHealth health = new EndpointHealth(DECLARATION);
    health.applyOwnerStatus(new EndpointStatus(EndpointState.COLD, COLD_CONCURRENT));
    health.onReport(report(1, false, 500), 1);
    assertThat(health.status().budgetConcurrent()).isEqualTo(COLD_CONCURRENT);
  }

  /** Guards against new requests at an endpoint that announced its shutdown. */
  @Test
  void leavingEndpointAcceptsNoRequestsUntilRestart() {
    EndpointHealth health = warm();
    health.onReport(new LoadReport("e", 1, 10, false, true, 3, 100, 0), 10);
    assertThat(health.status()).isEqualTo(new EndpointStatus(EndpointState.LEAVING, 0));
    health.onReport(new LoadReport("e", 2, 20, false, false, 0, 0, 0), 20);
    assertThat(health.status()).isEqualTo(new EndpointStatus(EndpointState.COLD, COLD_CONCURRENT));
  }
}
