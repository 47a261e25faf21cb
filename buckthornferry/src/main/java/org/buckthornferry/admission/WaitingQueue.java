package org.buckthornferry.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.util.Checks;

/**
 * The requests of one service that wait for an endpoint, ordered by tier, then by fair share
 * between customers by weighted token cost, then by slack. Bounded in bytes. Every operation costs
 * at most the logarithm of the number of requests and customers.
 */
public final class WaitingQueue {
  private static final Tier[] TIERS = Tier.values();

  private final long maxBytes;
  private final EnumMap<Tier, TierQueue> tiers = new EnumMap<>(Tier.class);
  private final Map<String, Slot> slots = new HashMap<>();
  private long usedBytes;
  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param maxBytes the memory that the waiting requests may occupy together
   */
  public WaitingQueue(long maxBytes) {
    this.maxBytes = Checks.positive(maxBytes, "maxBytes");
    for (Tier tier : TIERS) {
      tiers.put(tier, new TierQueue());
    }
  }

  private record Slot(QueueEntry entry, CustomerQueue.Position position) {}

  /**
   * The result of an offer.
   *
   * @param accepted whether the offered request waits now
   * @param evicted the requests that were removed to make room, in order of removal
   */
  public record Offer(boolean accepted, List<QueueEntry> evicted) {
    /** Copies the list. */
    public Offer {
      evicted = List.copyOf(evicted);
    }
  }

  /**
   * Adds a request. When the queue is full, the last request of the lowest tier leaves, as long as
   * that tier is not above the offered one and {@code level} permits to shed it. The lowest tier
   * needs no level, because no tier is below it.
   *
   * @throws IllegalArgumentException when a request with the same id waits already
   */
  public Offer offer(QueueEntry entry, ShedLevel level) {
    Checks.check(!slots.containsKey(entry.requestId()), "request waits already");
    List<QueueEntry> evicted = new ArrayList<>();
    if (entry.sizeBytes() > maxBytes) {
      return new Offer(false, evicted);
    }
    insert(entry);
    while (usedBytes > maxBytes) {
      QueueEntry last = lastOfLowestTier();
      if (last.requestId().equals(entry.requestId()) || !maySacrifice(last, entry, level)) {
        remove(entry.requestId());
        return new Offer(false, evicted);
      }
      remove(last.requestId());
      evicted.add(last);
    }
    return new Offer(true, evicted);
  }

  /** Returns the next request without removing it, or empty. */
  public Optional<QueueEntry> peek() {
    for (Tier tier : TIERS) {
      TierQueue queue = tiers.get(tier);
      if (!queue.isEmpty()) {
        return Optional.of(queue.first());
      }
    }
    return Optional.empty();
  }

  /** Removes and returns the next request and charges its customer, or returns empty. */
  public Optional<QueueEntry> poll() {
    Optional<QueueEntry> next = peek();
    next.ifPresent(this::serve);
    return next;
  }

  /**
   * Removes a request without serving it; its customer is not charged. Returns the request, or
   * empty when it does not wait.
   */
  public Optional<QueueEntry> remove(String requestId) {
    Slot slot = slots.remove(requestId);
    if (slot == null) {
      return Optional.empty();
    }
    tiers.get(slot.entry.tier()).remove(slot.position, slot.entry);
    usedBytes -= slot.entry.sizeBytes();
    return Optional.of(slot.entry);
  }

  /**
   * Charges the customer of a served request the difference between its actual and its estimated
   * cost, so that a wrong estimate does not change the fair shares for long.
   */
  public void adjustCharge(QueueEntry served, double actualTokens) {
    double difference = (actualTokens - served.costTokens()) / served.customerWeight();
    tiers.get(served.tier()).adjustCharge(served.customerId(), difference);
  }

  /** Returns whether the request waits. */
  public boolean contains(String requestId) {
    return slots.containsKey(requestId);
  }

  /** Returns the waiting requests in no particular order. */
  public Collection<QueueEntry> entries() {
    return slots.values().stream().map(Slot::entry).toList();
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return slots.size();
  }

  /** Returns the number of waiting requests of a tier. */
  public int size(Tier tier) {
    return tiers.get(tier).size();
  }

  /** Returns the memory that the waiting requests occupy, in bytes. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the estimated tokens that wait in a tier. */
  public double tokens(Tier tier) {
    return tiers.get(tier).backlogTokens();
  }

  /**
   * Returns the estimated tokens of the same tier that are served before a further request of the
   * customer.
   */
  public double tokensAhead(Tier tier, String customerId, int customerWeight) {
    return tiers.get(tier).tokensAhead(customerId, customerWeight);
  }

  private static boolean maySacrifice(QueueEntry last, QueueEntry offered, ShedLevel level) {
    boolean permitted = last.tier() == Tier.BULK || level.permitsShedding(last.tier());
    return permitted && !last.tier().isAbove(offered.tier());
  }

  private void insert(QueueEntry entry) {
    CustomerQueue.Position position =
        new CustomerQueue.Position(entry.latestStartNanos(), nextSequence++);
    tiers.get(entry.tier()).add(position, entry);
    slots.put(entry.requestId(), new Slot(entry, position));
    usedBytes += entry.sizeBytes();
  }

  private void serve(QueueEntry entry) {
    Slot slot = slots.remove(entry.requestId());
    tiers.get(entry.tier()).serve(slot.position, entry);
    usedBytes -= entry.sizeBytes();
  }

  private QueueEntry lastOfLowestTier() {
    for (int i = TIERS.length - 1; i > 0; i--) {
      TierQueue queue = tiers.get(TIERS[i]);
      if (!queue.isEmpty()) {
        return queue.last();
      }
    }
    return tiers.get(TIERS[0]).last();
  }
}
