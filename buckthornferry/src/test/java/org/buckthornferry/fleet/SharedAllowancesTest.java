package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.catalog.Customer.RateLimit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.BucketLimits;
import org.buckthornferry.dispatch.TokenBucket;
import org.buckthornferry.fleet.SharedAllowances.AllowanceRequest;
import org.buckthornferry.fleet.SharedAllowances.Decision;
import org.buckthornferry.fleet.SharedAllowances.Source;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.junit.jupiter.api.Test;

final class SharedAllowancesTest {
  private static final int INSTANCES = 8;
  private static final double WINDOW_SECONDS = 8;
  private static final double OVERRUN_SHARE = 0.1;
  private static final double SLACK_TOKENS = 190_000;
  private static final double MEAN_COST_TOKENS = 3_000;
  private static final double MAX_COST_TOKENS = 53_000;
  private static final int SEEDS = 40;

  /** The longest time until an instance without the store gets the copy of another one. */
  private static final long MAX_COPY_AGE_MILLIS = 1_200;

  /**
   * Compares with a single bucket for unevenly distributed requests. A difference of one request is
   * allowed, because the order of two requests matters when the bucket is nearly empty.
   */
  @Test
  void grantsWhatASingleInstanceWouldGrant() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.run(30_000, simulation.rate.perSecond() * 0.8);
      assertWithMessage("seed %s", seed).that(simulation.maxShortfall).isAtMost(MAX_COST_TOKENS);
    }
  }

  @Test
  void grantsTheFullAllowanceUnderOverload() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, 0);
      simulation.run(30_000, simulation.rate.perSecond() * 4);
      assertWithMessage("seed %s", seed)
          .that(simulation.grantedTokens())
          .isAtLeast(0.95 * 30 * simulation.rate.perSecond());
    }
  }

  @Test
  void keepsTheBoundDuringASevenfoldLoadSpike() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.run(10_000, simulation.rate.perSecond() / 1.8);
      simulation.run(20_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenInstancesRestart() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      for (int i = 0; i < 20; i++) {
        simulation.run(1_000, 7 * simulation.rate.perSecond() / 1.8);
        simulation.restart(simulation.random.nextInt(INSTANCES));
        simulation.restart(simulation.owner());
      }
      simulation.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenThreeInstancesAreDisconnected() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.run(10_000, simulation.rate.perSecond() / 1.8);
      simulation.disconnect(0, 1, 2);
      simulation.run(20_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenTheOwnerIsSuspendedAndRepliesAreLost() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.lostReplyShare = 0.1;
      simulation.run(10_000, simulation.rate.perSecond() / 1.8);
      simulation.suspend(simulation.owner());
      simulation.run(5_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.resume();
      simulation.run(15_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.assertWithinBound();
    }
  }

  /** After a store outage each instance may see only itself registered for a while. */
  @Test
  void keepsTheBoundWhenAllRegistrationsHaveLapsed() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.run(10_000, simulation.rate.perSecond() / 1.8);
      simulation.lapseAll();
      simulation.run(8_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.registerAll();
      simulation.run(10_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.assertWithinBound();
    }
  }

  /** The owner reaches the others but not the store, and is told late that it has lapsed. */
  @Test
  void keepsTheBoundWhenTheOwnersRegistrationLapses() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, SLACK_TOKENS);
      simulation.run(10_000, simulation.rate.perSecond() / 1.8);
      int owner = simulation.owner();
      Simulation.Instance lapsed = simulation.instances.get(owner);
      Map<String, InetSocketAddress> all = lapsed.view().listed();
      simulation.lapse(owner);
      lapsed.setView(all, Map.of());
      long ownMillis = InstanceRegistry.LAPSED_SELF_RETENTION_MILLIS + MAX_COPY_AGE_MILLIS;
      simulation.run(ownMillis, 7 * simulation.rate.perSecond() / 1.8);
      lapsed.setView(simulation.instances.get(owner == 0 ? 1 : 0).view().listed(), Map.of());
      simulation.run(
          InstanceRegistry.LAPSED_RETENTION_MILLIS - ownMillis,
          7 * simulation.rate.perSecond() / 1.8);
      simulation.drop(owner);
      simulation.run(20_000, 7 * simulation.rate.perSecond() / 1.8);
      simulation.assertWithinBound();
    }
  }

  /** Combines the failures above while slots are free for a part of the requests. */
  @Test
  void keepsTheBoundWhenRequestsBeyondTheAllowanceFindFreeSlots() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      for (double share : new double[] {0.2, 0.7, 1}) {
        simulateFailures(seed, share).assertWithinBound();
      }
    }
  }

  private static Simulation simulateFailures(int seed, double freeSlotsShare) {
    Simulation simulation = new Simulation(seed, SLACK_TOKENS);
    simulation.freeSlotsShare = freeSlotsShare;
    double normal = simulation.rate.perSecond() / 1.8;
    simulation.run(10_000, normal);
    simulation.run(12_000, 7 * normal);
    simulation.disconnect(0);
    simulation.run(10_000, 7 * normal);
    simulation.restart(simulation.random.nextInt(INSTANCES));
    simulation.restart(simulation.owner());
    simulation.run(10_000, 3 * normal);
    simulation.lostReplyShare = 0.1;
    simulation.suspend(simulation.owner());
    simulation.run(4_000, 7 * normal);
    simulation.resume();
    simulation.run(10_000, 7 * normal);
    return simulation;
  }

  /** Three times the usual load for five seconds; callers do not wait for answers. */
  @Test
  void grantsAPermittedBurstWhileSlotsAreFree() {
    double[] servedShare = new double[2];
    for (int isFree = 0; isFree <= 1; isFree++) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        Simulation simulation = new Simulation(seed, SLACK_TOKENS);
        simulation.freeSlotsShare = isFree;
        double normal = simulation.rate.perSecond() / 1.8;
        simulation.run(10_000, normal);
        double before = simulation.grantedTokens();
        simulation.run(5_000, 3 * normal);
        simulation.assertWithinBound();
        servedShare[isFree] += (simulation.grantedTokens() - before) / (5 * 3 * normal) / SEEDS;
      }
    }
    assertThat(servedShare[1]).isAtLeast(0.95);
    assertThat(servedShare[1]).isGreaterThan(servedShare[0]);
  }

  /** The load is twice the allowance; a third of the requests have high priority. */
  @Test
  void importantRequestsAreServedUnderOverload() {
    double important = 0;
    double others = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, 0);
      simulation.run(20_000, 1);
      double[] asked = new double[2];
      double[] served = new double[2];
      for (int i = 0; i < 2_000; i++) {
        simulation.nowMillis += MEAN_COST_TOKENS / (2 * simulation.rate.perSecond()) * 1_000;
        simulation.rank = i % 3 == 0 ? 0 : 2;
        int kind = Math.min(1, simulation.rank);
        asked[kind]++;
        served[kind] +=
            simulation.take(simulation.pickInstance(), MEAN_COST_TOKENS).isGranted() ? 1 : 0;
      }
      important += served[0] / asked[0] / SEEDS;
      others += served[1] / asked[1] / SEEDS;
      simulation.assertWithinBound();
    }
    assertThat(important).isAtLeast(0.95);
    assertThat(others).isAtLeast(0.2);
  }

  @Test
  void aNewOwnerGrantsNothingBeyondTheAllowanceForAWindow() {
    Simulation simulation = new Simulation(3, SLACK_TOKENS);
    simulation.freeSlotsShare = 1;
    simulation.run(10_000, simulation.rate.perSecond() / 1.8);
    simulation.restart(simulation.owner());
    double before = simulation.grantedTokens();
    simulation.run(4_000, 20 * simulation.rate.perSecond());
    double usual =
        BucketLimits.forOwner(simulation.rate, SLACK_TOKENS, WINDOW_SECONDS).perSecond()
            * 4
            * (1 + OVERRUN_SHARE);
    assertThat(simulation.grantedTokens() - before).isAtMost(usual + 2 * MAX_COST_TOKENS);
  }

  /**
   * Guards against refusing the first requests after a start: the bucket must fill from the start,
   * not from the first request.
   */
  @Test
  void theOwnersAllowanceFillsBeforeTheFirstRequest() {
    Simulation simulation = new Simulation(1, 0);
    int owner = simulation.owner();
    simulation.restart(owner);
    simulation.nowMillis += 2_000;
    int asker = owner == 0 ? 1 : 0;
    assertThat(simulation.take(asker, 9_000).isGranted()).isTrue();
    assertThat(simulation.take(asker, 6_000).isGranted()).isTrue();
  }

  @Test
  void anotherInstanceTakesOverFromALapsedOwnerThatDoesNotReply() {
    Simulation simulation = new Simulation(3, 0);
    simulation.run(2_000, simulation.rate.perSecond());
    int owner = simulation.owner();
    simulation.disconnect(owner);
    simulation.lapse(owner);
    simulation.run(4_000, simulation.rate.perSecond());
    int asker = owner == 0 ? 1 : 0;
    Decision decision = simulation.take(asker, 40_000);
    assertThat(decision.source()).isEqualTo(Source.COMMON);
    assertThat(decision.ownerId()).isNotEqualTo("i" + owner);
  }

  /**
   * Guards against callers that wait for the small local share to refill while a restarted owner is
   * already back.
   */
  @Test
  void retryDelayEndsWhenTheOwnerIsContactedAgain() {
    Simulation simulation = new Simulation(2, 0);
    simulation.run(2_000, simulation.rate.perSecond());
    int owner = simulation.owner();
    int asker = owner == 0 ? 1 : 0;
    simulation.disconnect(owner);
    assertThat(simulation.take(asker, 40_000).isGranted()).isTrue();
    Decision refused = simulation.take(asker, 4_000);
    assertThat(refused.source()).isEqualTo(Source.ALONE);
    assertThat(refused.waitMillis()).isAtMost(1_000);
    simulation.restart(owner);
    simulation.nowMillis += refused.waitMillis();
    assertThat(simulation.take(asker, 4_000).isGranted()).isTrue();
  }

  @Test
  void refundsTheOwnerForARequestThatWasNotSent() {
    Simulation simulation = new Simulation(1, 0);
    simulation.run(2_000, 1);
    int asker = simulation.owner() == 0 ? 1 : 0;
    Decision first = simulation.take(asker, 500_000);
    assertThat(first.source()).isEqualTo(Source.COMMON);
    assertThat(simulation.take(asker, 5_000).isGranted()).isFalse();
    simulation.instances.get(asker).allowances.refund(simulation.customer, 500_000, first);
    assertThat(simulation.take(asker, 5_000).isGranted()).isTrue();
  }

  /** Simulates eight instances with unequal shares of one customer's requests. */
  private static final class Simulation {
    private final SplittableRandom random;
    private final RateLimit rate;
    private final Customer customer;
    private final List<Instance> instances = new ArrayList<>();
    private final double[] weights = new double[INSTANCES];
    private final List<double[]> granted = new ArrayList<>();
    private double lostReplyShare;
    private boolean hasFreeSlots;
    private int rank;
    private double freeSlotsShare;
    private double totalWeight;
    private double nowMillis = 1;
    private final TokenBucket referenceAllowance = new TokenBucket(0);
    private final BucketLimits referenceTerms;
    private double shortfall;
    private double maxShortfall;
    private final double slack;

    private Simulation(int seed, double slack) {
      this.slack = slack;
      random = new SplittableRandom(seed);
      rate =
          new RateLimit(
              seed % 2 == 0 ? 47_000 : 13_056, seed % 2 == 0 ? 65_520 : 18_200, true, 200);
      referenceTerms = BucketLimits.forOwner(rate, 0, WINDOW_SECONDS);
      customer = new Customer("customer" + seed, List.of("key"), 0, rate);
      for (int i = 0; i < INSTANCES; i++) {
        weights[i] = 0.1 + random.nextDouble() * random.nextDouble();
        totalWeight += weights[i];
        instances.add(new Instance(i));
      }
      registerAll();
      // Lets the buckets fill before the first request.
      instances.forEach(instance -> instance.take(1));
      nowMillis += 20_000;
    }

    private void run(long millis, double tokensPerSecond) {
      double endMillis = nowMillis + millis;
      double perMilli = tokensPerSecond / MEAN_COST_TOKENS / 1_000;
      while (nowMillis < endMillis) {
        nowMillis += -Math.log(1 - random.nextDouble()) / perMilli;
        double cost =
            Math.min(
                MAX_COST_TOKENS, MEAN_COST_TOKENS / 1.8 * Math.exp(1.1 * random.nextGaussian()));
        long nowNanos = (long) (nowMillis * TimeUnit.MILLISECONDS.toNanos(1));
        hasFreeSlots = freeSlotsShare > 0 && random.nextDouble() < freeSlotsShare;
        shortfall +=
            referenceAllowance.takeWithDebt(cost, referenceTerms, nowNanos) == 0 ? cost : 0;
        shortfall -= take(pickInstance(), cost).isGranted() ? cost : 0;
        maxShortfall = Math.max(maxShortfall, shortfall);
      }
    }

    private Decision take(int index, double cost) {
      Instance instance = instances.get(index);
      if (instance.isSuspended) {
        return new Decision(1, Source.ALONE, "");
      }
      Decision decision = instance.take(cost);
      if (decision.isGranted()) {
        granted.add(new double[] {nowMillis, cost});
      }
      return decision;
    }

    private int pickInstance() {
      double point = random.nextDouble() * totalWeight;
      for (int i = 0; i < INSTANCES; i++) {
        point -= weights[i];
        if (point < 0) {
          return i;
        }
      }
      return INSTANCES - 1;
    }

    private int owner() {
      List<String> ids = new ArrayList<>();
      instances.forEach(instance -> ids.add(instance.id));
      return ids.indexOf(Rendezvous.first(customer.name(), ids).orElseThrow());
    }

    private void restart(int index) {
      Map<String, InetSocketAddress> listed = instances.get(index).view().listed();
      instances.set(index, new Instance(index));
      instances.get(index).setView(listed, Map.of());
    }

    private void disconnect(int... indexes) {
      for (int index : indexes) {
        instances.get(index).isDisconnected = true;
      }
    }

    private void suspend(int index) {
      instances.get(index).isSuspended = true;
      instances.get(index).suspendedMillis = nowMillis;
    }

    private void resume() {
      for (Instance instance : instances) {
        if (instance.isSuspended) {
          instance.isSuspended = false;
          instance.totalSuspendedMillis += nowMillis - instance.suspendedMillis;
        }
      }
    }

    private void registerAll() {
      Map<String, InetSocketAddress> all = new HashMap<>();
      instances.forEach(instance -> all.put(instance.id, instance.address));
      instances.forEach(instance -> instance.setView(all, Map.of()));
    }

    private void lapseAll() {
      for (Instance instance : instances) {
        Map<String, InetSocketAddress> others = new HashMap<>(instance.view().listed());
        others.remove(instance.id);
        instance.setView(Map.of(instance.id, instance.address), others);
      }
    }

    private void lapse(int index) {
      Instance gone = instances.get(index);
      for (Instance instance : instances) {
        Map<String, InetSocketAddress> listed = new HashMap<>(instance.view().listed());
        listed.remove(gone.id);
        instance.setView(listed, Map.of(gone.id, gone.address));
      }
    }

    /** Removes an instance from the views of the others. */
    private void drop(int index) {
      Instance gone = instances.get(index);
      for (Instance instance : instances) {
        if (instance != gone) {
          Map<String, InetSocketAddress> listed = new HashMap<>(instance.view().listed());
          listed.remove(gone.id);
          instance.setView(listed, Map.of());
        }
      }
    }

    private double grantedTokens() {
      double sum = 0;
      for (double[] request : granted) {
        sum += request[1];
      }
      return sum;
    }

    private void assertWithinBound() {
      double bound =
          (rate.perSecond() * WINDOW_SECONDS + rate.burst()) * (1 + OVERRUN_SHARE) + SLACK_TOKENS;
      double sum = 0;
      int first = 0;
      for (double[] request : granted) {
        sum += request[1];
        while (granted.get(first)[0] < request[0] - 1_000 * WINDOW_SECONDS) {
          sum -= granted.get(first)[1];
          first++;
        }
        assertWithMessage("%s at %s ms", customer.name(), request[0]).that(sum).isAtMost(bound);
      }
    }

    private final class Instance {
      private final String id;
      private final InetSocketAddress address;
      private final Blackboard blackboard = new Blackboard();
      private final Consumer<FleetView> viewWriter = blackboard.writerOf(FleetView.ENTRY);
      private final MonotonicClock clock = this::steadyNanos;
      private final SharedAllowances allowances;
      private boolean isDisconnected;
      private boolean isSuspended;
      private double suspendedMillis;
      private double totalSuspendedMillis;

      private Instance(int index) {
        id = "i" + index;
        address = Addresses.parse("127.0.0.1:" + (1 + index));
        allowances = new SharedAllowances(blackboard, this::call, id, clock);
        blackboard
            .writerOf(Catalog.ENTRY)
            .accept(new Catalog(1, List.of(), List.of(), List.of(customer), HttpLimits.INTERNAL));
        blackboard
            .writerOf(OperatingBounds.ENTRY)
            .accept(
                new OperatingBounds(
                    0.2,
                    56,
                    10_000,
                    OVERRUN_SHARE,
                    slack,
                    (long) (1_000 * WINDOW_SECONDS),
                    3_000,
                    2_000,
                    2_000,
                    1_000,
                    8_000,
                    0.1,
                    50));
      }

      private long steadyNanos() {
        double millis = (isSuspended ? suspendedMillis : nowMillis) - totalSuspendedMillis;
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
      }

      private FleetView view() {
        return blackboard.read(FleetView.ENTRY);
      }

      private void setView(
          Map<String, InetSocketAddress> listed, Map<String, InetSocketAddress> lapsed) {
        viewWriter.accept(new FleetView(listed, lapsed, Map.of()));
        allowances.refresh();
      }

      private Decision take(double cost) {
        return allowances.take(customer, new AllowanceRequest(cost, rank, hasFreeSlots)).join();
      }

      private CompletableFuture<byte[]> call(
          InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis) {
        Instance target = instances.get(other.getPort() - 1);
        if (target.isDisconnected || isDisconnected || target.isSuspended) {
          return CompletableFuture.failedFuture(new IOException("unreachable"));
        }
        try {
          byte[] reply = target.allowances.answer(message);
          return random.nextDouble() < lostReplyShare
              ? CompletableFuture.failedFuture(new IOException("lost"))
              : CompletableFuture.completedFuture(reply);
        } catch (IOException e) {
          return CompletableFuture.failedFuture(e);
        }
      }
    }
  }
}
