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
 * The queue of requests of one service that wait for an endpoint, ordered by tier, then by weighted
 * fair queueing between customers, then by slack. Its size in bytes is bounded. Every operation
 * takes at most logarithmic time in the number of requests and customers.
 */
public final class WaitingQueue {
  private static final Tier[] TIERS = Tier.values();

  private final long maxBytes;
  private final EnumMap<Tier, TierQueue> tiers = new EnumMap<>(Tier.class);
  private final Map<String, WaitingEntry> waitingById = new HashMap<>();
  private long usedBytes;
  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param maxBytes the memory that all waiting requests together may use
   */
  public WaitingQueue(long maxBytes) {
    this.maxBytes = Checks.positive(maxBytes, "maxBytes");
    for (Tier tier : TIERS) {
      tiers.put(tier, new TierQueue());
    }
  }

  private record WaitingEntry(QueueEntry entry, CustomerQueue.Position position) {}

  /**
   * The result of an offer.
   *
   * @param accepted whether the offered request is in the queue
   * @param evicted the requests that were evicted to make room, in order of eviction
   */
  public record Offer(boolean accepted, List<QueueEntry> evicted) {
    /** Copies the list. */
    public Offer {
      evicted = List.copyOf(evicted);
    }
  }

  /**
   * Adds a request. When the queue is full, it evicts the last request of the lowest tier if that
   * tier is not above the offered one and {@code level} permits shedding it. {@link Tier#BULK}
   * needs no level, because no tier is below it.
   *
   * @throws IllegalArgumentException if a request with the same id is already in the queue
   */
  public Offer offer(QueueEntry entry, ShedLevel level) {
    Checks.check(!waitingById.containsKey(entry.requestId()), "request is already in the queue");
    List<QueueEntry> evicted = new ArrayList<>();
    if (entry.sizeBytes() > maxBytes) {
      return new Offer(false, evicted);
    }
    insert(entry);
    while (usedBytes > maxBytes) {
      QueueEntry last = lastOfLowestTier();
      if (last.requestId().equals(entry.requestId()) || !mayEvict(last, entry, level)) {
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
   * Removes a request without serving it or charging its customer. Returns the request, or empty if
   * it is not in the queue.
   */
  public Optional<QueueEntry> remove(String requestId) {
    WaitingEntry waiting = waitingById.remove(requestId);
    if (waiting == null) {
      return Optional.empty();
    }
    tiers.get(waiting.entry.tier()).remove(waiting.position, waiting.entry);
    usedBytes -= waiting.entry.sizeBytes();
    return Optional.of(waiting.entry);
  }

  /**
   * Charges the customer of a served request the difference between its actual and its estimated
   * cost, so that a wrong estimate does not distort the fair shares for long.
   */
  public void adjustCharge(QueueEntry served, double actualTokens) {
    double difference = (actualTokens - served.costTokens()) / served.customerWeight();
    tiers.get(served.tier()).adjustCharge(served.customerId(), difference);
  }

  /** Returns whether the request is in the queue. */
  public boolean contains(String requestId) {
    return waitingById.containsKey(requestId);
  }

  /** Returns the waiting requests in no particular order. */
  public Collection<QueueEntry> entries() {
    return waitingById.values().stream().map(WaitingEntry::entry).toList();
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waitingById.size();
  }

  /** Returns the number of waiting requests of a tier. */
  public int size(Tier tier) {
    return tiers.get(tier).size();
  }

  /** Returns the memory that the waiting requests use, in bytes. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the estimated cost of the waiting requests of a tier, in tokens. */
  public double tokens(Tier tier) {
    return tiers.get(tier).backlogTokens();
  }

  /**
   * Returns the estimated tokens of the same tier that are served before another request of the
   * customer.
   */
  public double tokensAhead(Tier tier, String customerId, int customerWeight) {
    return tiers.get(tier).tokensAhead(customerId, customerWeight);
  }

  private static boolean mayEvict(QueueEntry last, QueueEntry offered, ShedLevel level) {
    boolean permitted = last.tier() == Tier.BULK || level.permitsShedding(last.tier());
    return permitted && !last.tier().isAbove(offered.tier());
  }

  private void insert(QueueEntry entry) {
    CustomerQueue.Position position =
        new CustomerQueue.Position(entry.latestStartNanos(), nextSequence++);
    tiers.get(entry.tier()).add(position, entry);
    waitingById.put(entry.requestId(), new WaitingEntry(entry, position));
    usedBytes += entry.sizeBytes();
  }

  private void serve(QueueEntry entry) {
    WaitingEntry waiting = waitingById.remove(entry.requestId());
    tiers.get(entry.tier()).serve(waiting.position, entry);
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
