package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting requests of one tier, shared fairly between customers by start-time fair queueing on
 * weighted token cost.
 */
final class TierQueue {
  private final Map<String, CustomerQueue> customers = new HashMap<>();
  private final TreeSet<CustomerQueue> waitingByStart = new TreeSet<>(CustomerQueue.BY_START);
  private final TreeSet<CustomerQueue> waitingByFinish = new TreeSet<>(CustomerQueue.BY_FINISH);
  private final TreeSet<CustomerQueue> idle = new TreeSet<>(CustomerQueue.BY_START);
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
    return waitingByStart.isEmpty();
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
      // A customer earns no credit while it has nothing waiting.
      customer.virtualTime = Math.max(customer.virtualTime, virtualTime);
    }
    customer.add(position, entry);
    backlogTokens += entry.costTokens();
    size++;
    attach(customer);
  }

  QueueEntry first() {
    return waitingByStart.first().entries.firstEntry().getValue();
  }

  QueueEntry last() {
    return waitingByFinish.last().entries.lastEntry().getValue();
  }

  /** Removes a request without charging its customer. */
  void remove(CustomerQueue.Position position, QueueEntry entry) {
    CustomerQueue customer = customers.get(entry.customerId());
    detach(customer);
    take(customer, position, entry);
    attach(customer);
  }

  /** Removes a request that is served now and charges its customer. */
  void serve(CustomerQueue.Position position, QueueEntry entry) {
    CustomerQueue customer = customers.get(entry.customerId());
    detach(customer);
    virtualTime = Math.max(virtualTime, customer.virtualTime);
    customer.virtualTime += entry.weightedCost();
    take(customer, position, entry);
    attach(customer);
    forgetSettledCustomers();
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

  /** Returns the estimated tokens that are served before a further request of the customer. */
  double tokensAhead(String customerId, int weight) {
    CustomerQueue customer = customers.get(customerId);
    boolean waits = customer != null && !customer.entries.isEmpty();
    double own = waits ? customer.backlogTokens : 0;
    double head = customer == null ? 0 : Math.max(0, customer.virtualTime - virtualTime) * weight;
    long totalWeight = waitingWeight + (waits ? 0 : weight);
    return Math.min(backlogTokens, (own + head) * totalWeight / weight);
  }

  private void take(CustomerQueue customer, CustomerQueue.Position position, QueueEntry entry) {
    customer.remove(position);
    size--;
    backlogTokens = size == 0 ? 0 : backlogTokens - entry.costTokens();
  }

  private void detach(CustomerQueue customer) {
    if (customer.entries.isEmpty()) {
      idle.remove(customer);
      return;
    }
    waitingByStart.remove(customer);
    waitingByFinish.remove(customer);
    waitingWeight -= customer.weight;
  }

  private void attach(CustomerQueue customer) {
    if (customer.entries.isEmpty()) {
      idle.add(customer);
      return;
    }
    waitingByStart.add(customer);
    waitingByFinish.add(customer);
    waitingWeight += customer.weight;
  }

  /** Forgets idle customers whose debt the tier has caught up with, so memory stays bounded. */
  private void forgetSettledCustomers() {
    while (!idle.isEmpty() && idle.first().virtualTime <= virtualTime) {
      customers.remove(idle.pollFirst().customerId);
    }
  }
}
