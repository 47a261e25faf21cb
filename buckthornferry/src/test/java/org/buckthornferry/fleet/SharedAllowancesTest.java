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
  private static final double OVERRUN = 0.1;
  private static final double SLACK = 190_000;
  private static final double MEAN_COST = 3_000;
  private static final double LARGEST_COST = 53_000;
  private static final int SEEDS = 40;

  /**
   * However unevenly a customer's requests reach the instances. One request more or less is the
   * order in which two requests meet an allowance that is nearly used up.
   */
  @Test
  void grantsWhatASingleInstanceWouldGrant() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      play.run(30_000, play.rate.perSecond() * 0.8);
      assertWithMessage("seed %s", seed).that(play.mostMissing).isAtMost(LARGEST_COST);
    }
  }

  @Test
  void grantsTheWholeAllowanceToACustomerThatAsksForMore() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, 0);
      play.run(30_000, play.rate.perSecond() * 4);
      assertWithMessage("seed %s", seed)
          .that(play.grantedTokens())
          .isAtLeast(0.95 * 30 * play.rate.perSecond());
    }
  }

  @Test
  void keepsTheBoundWhenACustomerSuddenlySendsSevenTimesAsMuch() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      play.run(10_000, play.rate.perSecond() / 1.8);
      play.run(20_000, 7 * play.rate.perSecond() / 1.8);
      play.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenInstancesRestart() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      for (int i = 0; i < 20; i++) {
        play.run(1_000, 7 * play.rate.perSecond() / 1.8);
        play.restart(play.random.nextInt(INSTANCES));
        play.restart(play.owner());
      }
      play.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenThreeInstancesAreCutOff() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      play.run(10_000, play.rate.perSecond() / 1.8);
      play.cut(0, 1, 2);
      play.run(20_000, 7 * play.rate.perSecond() / 1.8);
      play.assertWithinBound();
    }
  }

  @Test
  void keepsTheBoundWhenTheOwnerIsSuspendedAndRepliesAreLost() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      play.lostReplies = 0.1;
      play.run(10_000, play.rate.perSecond() / 1.8);
      play.suspend(play.owner());
      play.run(5_000, 7 * play.rate.perSecond() / 1.8);
      play.resume();
      play.run(15_000, 7 * play.rate.perSecond() / 1.8);
      play.assertWithinBound();
    }
  }

  /** After an outage each instance may see itself alone in the store for a while. */
  @Test
  void keepsTheBoundWhenAllRegistrationsHaveEnded() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, SLACK);
      play.run(10_000, play.rate.perSecond() / 1.8);
      play.lapseAll();
      play.run(8_000, 7 * play.rate.perSecond() / 1.8);
      play.registerAll();
      play.run(10_000, 7 * play.rate.perSecond() / 1.8);
      play.assertWithinBound();
    }
  }

  /** Slots are free for a part of the requests, in all that is played above. */
  @Test
  void keepsTheBoundWhenRequestsBeyondTheAllowanceFindFreeSlots() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      for (double share : new double[] {0.2, 0.7, 1}) {
        playTrouble(seed, share).assertWithinBound();
      }
    }
  }

  private static Play playTrouble(int seed, double freeSlotsShare) {
    Play play = new Play(seed, SLACK);
    play.freeSlotsShare = freeSlotsShare;
    double normal = play.rate.perSecond() / 1.8;
    play.run(10_000, normal);
    play.run(12_000, 7 * normal);
    play.cut(0);
    play.run(10_000, 7 * normal);
    play.restart(play.random.nextInt(INSTANCES));
    play.restart(play.owner());
    play.run(10_000, 3 * normal);
    play.lostReplies = 0.1;
    play.suspend(play.owner());
    play.run(4_000, 7 * normal);
    play.resume();
    play.run(10_000, 7 * normal);
    return play;
  }

  /** Three times the usual load for five seconds; callers wait for nobody. */
  @Test
  void grantsABurstThatTheContractPermitsWhileSlotsAreFree() {
    double[] servedShare = new double[2];
    for (int isFree = 0; isFree <= 1; isFree++) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        Play play = new Play(seed, SLACK);
        play.freeSlotsShare = isFree;
        double normal = play.rate.perSecond() / 1.8;
        play.run(10_000, normal);
        double before = play.grantedTokens();
        play.run(5_000, 3 * normal);
        play.assertWithinBound();
        servedShare[isFree] += (play.grantedTokens() - before) / (5 * 3 * normal) / SEEDS;
      }
    }
    assertThat(servedShare[1]).isAtLeast(0.95);
    assertThat(servedShare[1]).isGreaterThan(servedShare[0]);
  }

  /** Twice the allowance is asked for, a third of it by important requests. */
  @Test
  void importantRequestsGetTheirAllowanceThoughOthersAskForMore() {
    double important = 0;
    double others = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      Play play = new Play(seed, 0);
      play.run(20_000, 1);
      double[] asked = new double[2];
      double[] served = new double[2];
      for (int i = 0; i < 2_000; i++) {
        play.nowMillis += MEAN_COST / (2 * play.rate.perSecond()) * 1_000;
        play.rank = i % 3 == 0 ? 0 : 2;
        int kind = Math.min(1, play.rank);
        asked[kind]++;
        served[kind] += play.take(play.pick(), MEAN_COST).isGranted() ? 1 : 0;
      }
      important += served[0] / asked[0] / SEEDS;
      others += served[1] / asked[1] / SEEDS;
      play.assertWithinBound();
    }
    assertThat(important).isAtLeast(0.95);
    assertThat(others).isAtLeast(0.2);
  }

  @Test
  void aNewOwnerGrantsNothingBeyondTheAllowanceForAWindow() {
    Play play = new Play(3, SLACK);
    play.freeSlotsShare = 1;
    play.run(10_000, play.rate.perSecond() / 1.8);
    play.restart(play.owner());
    double before = play.grantedTokens();
    play.run(4_000, 20 * play.rate.perSecond());
    double usual =
        BucketLimits.forOwner(play.rate, SLACK, WINDOW_SECONDS).perSecond() * 4 * (1 + OVERRUN);
    assertThat(play.grantedTokens() - before).isAtMost(usual + 2 * LARGEST_COST);
  }

  /** Requests of the first second of traffic find what the rate has filled since the start. */
  @Test
  void theOwnersAllowanceFillsBeforeTheFirstRequest() {
    Play play = new Play(1, 0);
    int owner = play.owner();
    play.restart(owner);
    play.nowMillis += 2_000;
    int asker = owner == 0 ? 1 : 0;
    assertThat(play.take(asker, 9_000).isGranted()).isTrue();
    assertThat(play.take(asker, 6_000).isGranted()).isTrue();
  }

  @Test
  void anotherInstanceTakesOverWhenTheOwnersRegistrationHasEndedAndItIsSilent() {
    Play play = new Play(3, 0);
    play.run(2_000, play.rate.perSecond());
    int owner = play.owner();
    play.cut(owner);
    play.lapse(owner);
    play.run(4_000, play.rate.perSecond());
    int asker = owner == 0 ? 1 : 0;
    Decision decision = play.take(asker, 40_000);
    assertThat(decision.source()).isEqualTo(Source.COMMON);
    assertThat(decision.ownerId()).isNotEqualTo("i" + owner);
  }

  /** An owner that was restarted is there again long before a small part has been refilled. */
  @Test
  void callersComeBackWhenTheOwnerIsAskedAgain() {
    Play play = new Play(2, 0);
    play.run(2_000, play.rate.perSecond());
    int owner = play.owner();
    int asker = owner == 0 ? 1 : 0;
    play.cut(owner);
    assertThat(play.take(asker, 40_000).isGranted()).isTrue();
    Decision refused = play.take(asker, 4_000);
    assertThat(refused.source()).isEqualTo(Source.ALONE);
    assertThat(refused.waitMillis()).isAtMost(1_000);
    play.restart(owner);
    play.nowMillis += refused.waitMillis();
    assertThat(play.take(asker, 4_000).isGranted()).isTrue();
  }

  @Test
  void givesBackToTheOwnerWhatWasNotSent() {
    Play play = new Play(1, 0);
    play.run(2_000, 1);
    int asker = play.owner() == 0 ? 1 : 0;
    Decision first = play.take(asker, 500_000);
    assertThat(first.source()).isEqualTo(Source.COMMON);
    assertThat(play.take(asker, 5_000).isGranted()).isFalse();
    play.instances.get(asker).allowances.refund(play.customer, 500_000, first);
    assertThat(play.take(asker, 5_000).isGranted()).isTrue();
  }

  /** Eight instances with unequal shares of one customer's requests. */
  private static final class Play {
    private final SplittableRandom random;
    private final RateLimit rate;
    private final Customer customer;
    private final List<Instance> instances = new ArrayList<>();
    private final double[] weights = new double[INSTANCES];
    private final List<double[]> granted = new ArrayList<>();
    private double lostReplies;
    private boolean hasFreeSlots;
    private int rank;
    private double freeSlotsShare;
    private double totalWeight;
    private double nowMillis = 1;
    private final TokenBucket single = new TokenBucket(0);
    private final BucketLimits singleTerms;
    private double missing;
    private double mostMissing;
    private final double slack;

    private Play(int seed, double slack) {
      this.slack = slack;
      random = new SplittableRandom(seed);
      rate =
          new RateLimit(
              seed % 2 == 0 ? 47_000 : 13_056, seed % 2 == 0 ? 65_520 : 18_200, true, 200);
      singleTerms = BucketLimits.forOwner(rate, 0, WINDOW_SECONDS);
      customer = new Customer("customer" + seed, List.of("key"), 0, rate);
      for (int i = 0; i < INSTANCES; i++) {
        weights[i] = 0.1 + random.nextDouble() * random.nextDouble();
        totalWeight += weights[i];
        instances.add(new Instance(i));
      }
      registerAll();
      // The allowance has filled before the first request.
      instances.forEach(instance -> instance.take(1));
      nowMillis += 20_000;
    }

    private void run(long millis, double tokensPerSecond) {
      double endMillis = nowMillis + millis;
      double perMilli = tokensPerSecond / MEAN_COST / 1_000;
      while (nowMillis < endMillis) {
        nowMillis += -Math.log(1 - random.nextDouble()) / perMilli;
        double cost =
            Math.min(LARGEST_COST, MEAN_COST / 1.8 * Math.exp(1.1 * random.nextGaussian()));
        long nowNanos = (long) (nowMillis * TimeUnit.MILLISECONDS.toNanos(1));
        hasFreeSlots = freeSlotsShare > 0 && random.nextDouble() < freeSlotsShare;
        missing += single.takeWithDebt(cost, singleTerms, nowNanos) == 0 ? cost : 0;
        missing -= take(pick(), cost).isGranted() ? cost : 0;
        mostMissing = Math.max(mostMissing, missing);
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

    private int pick() {
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
      instances.get(index).see(listed, Map.of());
    }

    private void cut(int... indexes) {
      for (int index : indexes) {
        instances.get(index).isCut = true;
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
          instance.stoodStillMillis += nowMillis - instance.suspendedMillis;
        }
      }
    }

    private void registerAll() {
      Map<String, InetSocketAddress> all = new HashMap<>();
      instances.forEach(instance -> all.put(instance.id, instance.address));
      instances.forEach(instance -> instance.see(all, Map.of()));
    }

    private void lapseAll() {
      for (Instance instance : instances) {
        Map<String, InetSocketAddress> others = new HashMap<>(instance.view().listed());
        others.remove(instance.id);
        instance.see(Map.of(instance.id, instance.address), others);
      }
    }

    private void lapse(int index) {
      Instance gone = instances.get(index);
      for (Instance instance : instances) {
        Map<String, InetSocketAddress> listed = new HashMap<>(instance.view().listed());
        listed.remove(gone.id);
        instance.see(listed, Map.of(gone.id, gone.address));
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
      double bound = (rate.perSecond() * WINDOW_SECONDS + rate.burst()) * (1 + OVERRUN) + SLACK;
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
      private boolean isCut;
      private boolean isSuspended;
      private double suspendedMillis;
      private double stoodStillMillis;

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
                    OVERRUN,
                    slack,
                    (long) (1_000 * WINDOW_SECONDS),
                    3_000,
                    2_000,
                    2_000,
                    8_000,
                    0.1,
                    50));
      }

      private long steadyNanos() {
        double millis = (isSuspended ? suspendedMillis : nowMillis) - stoodStillMillis;
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
      }

      private FleetView view() {
        return blackboard.read(FleetView.ENTRY);
      }

      private void see(
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
        if (target.isCut || isCut || target.isSuspended) {
          return CompletableFuture.failedFuture(new IOException("unreachable"));
        }
        try {
          byte[] reply = target.allowances.answer(message);
          return random.nextDouble() < lostReplies
              ? CompletableFuture.failedFuture(new IOException("lost"))
              : CompletableFuture.completedFuture(reply);
        } catch (IOException e) {
          return CompletableFuture.failedFuture(e);
        }
      }
    }
  }
}
