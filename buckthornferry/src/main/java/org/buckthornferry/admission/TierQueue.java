package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting requests of one tier, scheduled between customers by start-time fair queueing with
 * weighted token cost.
 */
final class TierQueue {
  private final Map<String, CustomerQueue> customers = new HashMap<>();
  private final TreeSet<CustomerQueue> waitingByVirtualStart =
      new TreeSet<>(CustomerQueue.BY_VIRTUAL_START);
  private final TreeSet<CustomerQueue> waitingByVirtualFinish =
      new TreeSet<>(CustomerQueue.BY_VIRTUAL_FINISH);
  private final TreeSet<CustomerQueue> idle = new TreeSet<>(CustomerQueue.BY_VIRTUAL_START);
  private double virtualTime;
  private double backlogTokens;
  private long waitingWeight;
  private int size;

  int size() {
    return size;
  }

  double backlogTokens() {
    return backlogTokens;
  }

  boolean isEmpty() {
    return waitingByVirtualStart.isEmpty();
  }

  void add(CustomerQueue.Position position, QueueEntry entry) {
    CustomerQueue customer = customers.get(entry.customerId());
    if (customer == null) {
      customer = new CustomerQueue(entry.customerId());
      customers.put(entry.customerId(), customer);
    } else {
      detach(customer);
    }
    if (customer.entries.isEmpty()) {
      // A customer accumulates no credit while it has no waiting requests.
      customer.virtualTime = Math.max(customer.virtualTime, virtualTime);
    }
    customer.add(position, entry);
    backlogTokens += entry.costTokens();
    size++;
    attach(customer);
  }

  QueueEntry first() {
    return waitingByVirtualStart.first().entries.firstEntry().getValue();
  }

  QueueEntry last() {
    return waitingByVirtualFinish.last().entries.lastEntry().getValue();
  }

  /** Removes a request without charging its customer. */
  void remove(CustomerQueue.Position position, QueueEntry entry) {
    CustomerQueue customer = customers.get(entry.customerId());
    detach(customer);
    removeEntry(customer, position, entry);
    attach(customer);
  }

  /** Removes a request that is about to be served and charges its customer. */
  void serve(CustomerQueue.Position position, QueueEntry entry) {
    CustomerQueue customer = customers.get(entry.customerId());
    detach(customer);
    virtualTime = Math.max(virtualTime, customer.virtualTime);
    customer.virtualTime += entry.weightedCost();
    removeEntry(customer, position, entry);
    attach(customer);
    removeCaughtUpCustomers();
  }

  /** Charges a customer the difference between the actual and the estimated cost. */
  void adjustCharge(String customerId, double weightedDifference) {
    CustomerQueue customer = customers.get(customerId);
    if (customer == null) {
      return;
    }
    detach(customer);
    customer.virtualTime += weightedDifference;
    attach(customer);
  }

  /** Returns the estimated tokens that are served before another request of the customer. */
  double tokensAhead(String customerId, int weight) {
    CustomerQueue customer = customers.get(customerId);
    boolean isWaiting = customer != null && !customer.entries.isEmpty();
    double ownBacklogTokens = isWaiting ? customer.backlogTokens : 0;
    double overservedTokens =
        customer == null ? 0 : Math.max(0, customer.virtualTime - virtualTime) * weight;
    long totalWeight = waitingWeight + (isWaiting ? 0 : weight);
    return Math.min(backlogTokens, (ownBacklogTokens + overservedTokens) * totalWeight / weight);
  }

  private void removeEntry(
      CustomerQueue customer, CustomerQueue.Position position, QueueEntry entry) {
    customer.remove(position);
    size--;
    backlogTokens = size == 0 ? 0 : backlogTokens - entry.costTokens();
  }

  private void detach(CustomerQueue customer) {
    if (customer.entries.isEmpty()) {
      idle.remove(customer);
      return;
    }
    waitingByVirtualStart.remove(customer);
    waitingByVirtualFinish.remove(customer);
    waitingWeight -= customer.weight;
  }

  private void attach(CustomerQueue customer) {
    if (customer.entries.isEmpty()) {
      idle.add(customer);
      return;
    }
    waitingByVirtualStart.add(customer);
    waitingByVirtualFinish.add(customer);
    waitingWeight += customer.weight;
  }

  /** Removes idle customers whose virtual time is in the past, so that memory stays bounded. */
  private void removeCaughtUpCustomers() {
    while (!idle.isEmpty() && idle.first().virtualTime <= virtualTime) {
      customers.remove(idle.pollFirst().customerId);
    }
  }
}
