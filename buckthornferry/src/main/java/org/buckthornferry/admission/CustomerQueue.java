package org.buckthornferry.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** The queue of waiting requests of one customer in one tier, ordered by least slack. */
final class CustomerQueue {
  /**
   * Orders by virtual time: the customer with the least service relative to its weight is first.
   */
  static final Comparator<CustomerQueue> BY_VIRTUAL_START =
      Comparator.<CustomerQueue>comparingDouble(q -> q.virtualTime)
          .thenComparing(q -> q.customerId);

  /**
   * Orders by virtual finish time: the last request of the last customer is the last of the tier.
   */
  static final Comparator<CustomerQueue> BY_VIRTUAL_FINISH =
      Comparator.<CustomerQueue>comparingDouble(q -> q.virtualTime + q.weightedBacklog)
          .thenComparing(q -> q.customerId);

  final String customerId;
  final TreeMap<Position, QueueEntry> entries = new TreeMap<>(Position.ORDER);
  double virtualTime;
  double weightedBacklog;
  double backlogTokens;
  int weight = 1;

  CustomerQueue(String customerId) {
    this.customerId = customerId;
  }

  /** The position of a request in its customer's queue. */
  record Position(long latestStartNanos, long sequence) {
    static final Comparator<Position> ORDER =
        (a, b) -> {
          // Compares the difference, because monotonic clock readings may overflow.
          int bySlack = Long.signum(a.latestStartNanos - b.latestStartNanos);
          return bySlack != 0 ? bySlack : Long.compare(a.sequence, b.sequence);
        };
  }

  void add(Position position, QueueEntry entry) {
    entries.put(position, entry);
    weight = entry.customerWeight();
    weightedBacklog += entry.weightedCost();
    backlogTokens += entry.costTokens();
  }

  void remove(Position position) {
    QueueEntry entry = entries.remove(position);
    weightedBacklog -= entry.weightedCost();
    backlogTokens -= entry.costTokens();
    if (entries.isEmpty()) {
      // Clears accumulated rounding errors of the sums.
      weightedBacklog = 0;
      backlogTokens = 0;
    }
  }
}
