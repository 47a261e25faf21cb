package org.buckthornferry.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class WaitingQueueTest {
  private static final long UNBOUNDED_BYTES = 1L << 40;

  private static QueueEntry entry(
      String id, Tier tier, String customer, int weight, double cost, long latestStart) {
    return new QueueEntry(id, tier, customer, weight, cost, latestStart, 100);
  }

  /**
   * Guards against a request served before a waiting one of a higher tier, and against lost
   * entries.
   */
  @Property(seed = "11", tries = 200)
  void servesEveryRequestHigherTiersFirst(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    WaitingQueue queue = new WaitingQueue(UNBOUNDED_BYTES);
    int count = 1 + random.nextInt(60);
    for (int i = 0; i < count; i++) {
      queue.offer(randomEntry(random, i), ShedLevel.NONE);
    }
    Tier previous = Tier.CRITICAL;
    int served = 0;
    for (Optional<QueueEntry> next = queue.poll(); next.isPresent(); next = queue.poll()) {
      assertThat(next.get().tier().isAbove(previous)).isFalse();
      previous = next.get().tier();
      served++;
    }
    assertThat(served).isEqualTo(count);
    assertThat(queue.usedBytes()).isEqualTo(0);
  }

  /**
   * Guards against a customer that starves others with many requests or with requests 100 times as
   * large: while two customers wait, their served cost per weight differs by at most two requests.
   */
  @Property(seed = "12", tries = 200)
  void sharesServiceByWeightedCost(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    WaitingQueue queue = new WaitingQueue(UNBOUNDED_BYTES);
    int customers = 2 + random.nextInt(4);
    Map<String, Double> largest = new HashMap<>();
    for (int c = 0; c < customers; c++) {
      double size = random.nextBoolean() ? 1 : 100;
      int weight = 1 + random.nextInt(3);
      // The flooding customer has 20 times as many requests.
      int count = c == 0 ? 2_000 : 100;
      largest.put("c" + c, size / weight);
      for (int i = 0; i < count; i++) {
        queue.offer(
            entry("c" + c + "-" + i, Tier.STANDARD, "c" + c, weight, size, i), ShedLevel.NONE);
      }
    }
    Map<String, Integer> left = new HashMap<>();
    queue.entries().forEach(entry -> left.merge(entry.customerId(), 1, Integer::sum));
    Map<String, Double> served = new HashMap<>();
    while (left.size() == customers) {
      QueueEntry next = queue.poll().orElseThrow();
      served.merge(next.customerId(), next.weightedCost(), Double::sum);
      left.computeIfPresent(next.customerId(), (id, n) -> n == 1 ? null : n - 1);
      for (String a : largest.keySet()) {
        for (String b : largest.keySet()) {
          double difference = served.getOrDefault(a, 0.0) - served.getOrDefault(b, 0.0);
          assertThat(difference).isAtMost(largest.get(a) + largest.get(b) + 1e-6);
        }
      }
    }
  }

  /** Guards against a customer that accumulates credit while it has no waiting requests. */
  @Test
  void idleCustomerAccumulatesNoCredit() {
    WaitingQueue queue = new WaitingQueue(UNBOUNDED_BYTES);
    for (int i = 0; i < 100; i++) {
      queue.offer(entry("a" + i, Tier.BULK, "a", 1, 10, i), ShedLevel.NONE);
      queue.poll();
    }
    for (int i = 0; i < 20; i++) {
      queue.offer(entry("b" + i, Tier.BULK, "b", 1, 10, i), ShedLevel.NONE);
      queue.offer(entry("x" + i, Tier.BULK, "a", 1, 10, i), ShedLevel.NONE);
    }
    int servedOfB = 0;
    for (int i = 0; i < 20; i++) {
      servedOfB += queue.poll().orElseThrow().customerId().equals("b") ? 1 : 0;
    }
    assertThat(servedOfB).isAtMost(12);
  }

  /** Guards against a request with little slack that waits behind one with more slack. */
  @Test
  void servesLeastSlackFirstWithinCustomer() {
    WaitingQueue queue = new WaitingQueue(UNBOUNDED_BYTES);
    queue.offer(entry("late", Tier.STANDARD, "a", 1, 1, 500), ShedLevel.NONE);
    queue.offer(entry("early", Tier.STANDARD, "a", 1, 1, 100), ShedLevel.NONE);
    assertThat(queue.poll().orElseThrow().requestId()).isEqualTo("early");
  }

  /** Guards against low cost estimates that give a customer more than its share. */
  @Test
  void chargesActualCost() {
    WaitingQueue queue = new WaitingQueue(UNBOUNDED_BYTES);
    for (int i = 0; i < 10; i++) {
      queue.offer(entry("a" + i, Tier.STANDARD, "a", 1, 1, i), ShedLevel.NONE);
      queue.offer(entry("b" + i, Tier.STANDARD, "b", 1, 1, i), ShedLevel.NONE);
    }
    QueueEntry first = queue.poll().orElseThrow();
    queue.adjustCharge(first, 6);
    for (int i = 0; i < 5; i++) {
      assertThat(queue.poll().orElseThrow().customerId()).isEqualTo("b");
    }
  }

  /**
   * Guards against a queue that exceeds its size limit, that evicts a tier which the level does not
   * permit, or that evicts a higher tier while a lower one waits.
   */
  @Property(seed = "13", tries = 200)
  void boundsBytesAndEvictsLowestTier(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long maxBytes = 1_000;
    WaitingQueue queue = new WaitingQueue(maxBytes);
    ShedLevel level = List.of(ShedLevel.values()).get(random.nextInt(4));
    for (int i = 0; i < 80; i++) {
      List<QueueEntry> before = new ArrayList<>(queue.entries());
      QueueEntry offered = randomEntry(random, i);
      WaitingQueue.Offer offer = queue.offer(offered, level);
      assertThat(queue.usedBytes()).isAtMost(maxBytes);
      for (QueueEntry evicted : offer.evicted()) {
        assertThat(evicted.tier() == Tier.BULK || level.permitsShedding(evicted.tier())).isTrue();
        assertThat(before).contains(evicted);
        for (QueueEntry kept : queue.entries()) {
          assertThat(evicted.tier().isAbove(kept.tier())).isFalse();
        }
      }
      assertThat(queue.contains(offered.requestId())).isEqualTo(offer.accepted());
      if (random.nextInt(4) == 0) {
        queue.poll();
      }
    }
  }

  private static QueueEntry randomEntry(SplittableRandom random, int i) {
    return new QueueEntry(
        "r" + i,
        List.of(Tier.values()).get(random.nextInt(3)),
        "c" + random.nextInt(4),
        1 + random.nextInt(3),
        random.nextBoolean() ? 1 : 100,
        random.nextInt(1_000),
        1 + random.nextInt(200));
  }
}
