package org.buckthornferry.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** The waiting requests of one customer in one tier, least slack first. */
final class CustomerQueue {
  /** Least virtual time first; the customer served least relative to its weight is next. */
  static final Comparator<CustomerQueue> BY_START =
      Comparator.<CustomerQueue>comparingDouble(q -> q.virtualTime)
          .thenComparing(q -> q.customerId);

  /** Greatest virtual finish last; its last request is the last of the tier. */
  static final Comparator<CustomerQueue> BY_FINISH =
      Comparator.<CustomerQueue>comparingDouble(q -> q.virtualTime + q.backlogWeighted)
          .thenComparing(q -> q.customerId);

  final String customerId;
  final TreeMap<Position, QueueEntry> entries = new TreeMap<>(Position.ORDER);
  double virtualTime;
  double backlogWeighted;
  double backlogTokens;
  int weight = 1;

  CustomerQueue(String customerId) {
    this.customerId = customerId;
  }

  /** The place of a request inside its customer's queue. */
  record Position(long latestStartNanos, long sequence) {
    static final Comparator<Position> ORDER =
        (a, b) -> {
          // The difference is compared because monotonic readings may wrap around.
          int bySlack = Long.signum(a.latestStartNanos - b.latestStartNanos);
          return bySlack != 0 ? bySlack : Long.compare(a.sequence, b.sequence);
        };
  }

  void add(Position position, QueueEntry entry) {
    entries.put(position, entry);
    weight = entry.customerWeight();
    backlogWeighted += entry.weightedCost();
    backlogTokens += entry.costTokens();
  }

  void remove(Position position) {
    QueueEntry entry = entries.remove(position);
    backlogWeighted -= entry.weightedCost();
    backlogTokens -= entry.costTokens();
    if (entries.isEmpty()) {
      // Clears the rounding error of the sums.
      backlogWeighted = 0;
      backlogTokens = 0;
    }
  }
}
