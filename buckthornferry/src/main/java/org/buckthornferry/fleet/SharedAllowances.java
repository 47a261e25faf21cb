package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.BucketLimits;
import org.buckthornferry.dispatch.CustomerRateLimiter;
import org.buckthornferry.dispatch.TokenBucket;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.jboss.logging.Logger;

/**
 * Distributed rate limiter that enforces each customer's allowance, a token bucket, across all
 * instances. One instance, chosen by rendezvous hashing of the customer's name, owns the common
 * bucket and grants from it. Each instance may use a small share without asking the owner, and a
 * larger share while it cannot reach the owner. The owner keeps its state in memory, so the bucket
 * of a new owner starts empty.
 */
public final class SharedAllowances {
  private static final Logger LOG = Logger.getLogger(SharedAllowances.class);

  /**
   * Timeout of a call to the owner, in milliseconds. A reply takes about 2 ms; after a timeout a
   * request with a short latency goal can still meet it.
   */
  private static final long OWNER_TIMEOUT_MILLIS = 120;

  /**
   * Delay before an unresponsive owner is called again, in milliseconds. After a restart of all
   * instances the owner is back within a second.
   */
  private static final long OWNER_RETRY_MILLIS = 400;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final MonotonicClock clock;
  private final Map<String, CustomerRateLimiter> ownedAllowances = new HashMap<>();
  private final Map<String, TokenBucket> localAllowances = new HashMap<>();
  private final Map<String, TokenBucket> fallbackAllowances = new HashMap<>();
  private final UnresponsivePeers unresponsive;

  /** The share of an allowance that a decision is based on. */
  public enum Source {
    /** The customer has no rate limit. */
    UNLIMITED,
    /** The share that this instance may use without asking the owner. */
    UNASKED,
    /** The common bucket, kept by the owner. */
    COMMON,
    /** The share of an instance that cannot reach the owner. */
    ALONE
  }

  /**
   * Outcome of a request for allowance.
   *
   * @param waitMillis 0 if the cost was taken, else the time after which the caller may retry
   * @param ownerId id of the owning instance, or empty while no instance is known
   */
  public record Decision(long waitMillis, Source source, String ownerId) {
    /** Returns whether the request is within the allowance. */
    public boolean isGranted() {
      return waitMillis == 0;
    }
  }

  /**
   * Cost and priority of a request that draws on an allowance.
   *
   * @param cost in the customer's unit
   * @param rank priority of the request; 0 is the highest
   * @param hasFreeSlots whether the request can run without displacing another one
   */
  public record AllowanceRequest(double cost, int rank, boolean hasFreeSlots) {}

  /** Creates the limiter of an instance; its buckets start empty. */
  public SharedAllowances(
      Blackboard blackboard, PeerCaller peers, String selfId, MonotonicClock clock) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.clock = clock;
    this.unresponsive = new UnresponsivePeers(OWNER_RETRY_MILLIS, clock);
  }

  /**
   * Takes a request's cost from its customer's allowance. The returned future never fails.
   *
   * @param request cost and priority of the request
   */
  public CompletableFuture<Decision> take(Customer customer, AllowanceRequest request) {
    double cost = request.cost();
    if (!customer.rateLimit().isLimited()) {
      return CompletableFuture.completedFuture(new Decision(0, Source.UNLIMITED, ""));
    }
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    Map<String, InetSocketAddress> candidates = candidates(fleet);
    String ownerId = Rendezvous.first(customer.name(), candidates.keySet()).orElse("");
    if (ownerId.isEmpty() || unresponsive.isInBackoff(ownerId)) {
      return CompletableFuture.completedFuture(takeWithoutOwner(customer, cost, ownerId, fleet));
    }
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    BucketLimits own =
        commonTerms(customer, bounds).localShare(bounds.allowanceOverrun(), fleet.instanceCount());
    if (bucket(localAllowances, customer).tryTake(cost, own, clock.nanoTime())) {
      return CompletableFuture.completedFuture(new Decision(0, Source.UNASKED, ownerId));
    }
    if (ownerId.equals(selfId)) {
      long waitMillis = takeAsOwner(customer, request);
      return CompletableFuture.completedFuture(new Decision(waitMillis, Source.COMMON, ownerId));
    }
    return Completions.thenOnOutcome(
        requestFromOwner(ownerId, candidates.get(ownerId), customer, request),
        (waitMillis, failure) -> {
          boolean isAnswered = failure == null && waitMillis != AllowanceMessages.NOT_OWNER;
          return CompletableFuture.completedFuture(
              isAnswered
                  ? new Decision(waitMillis, Source.COMMON, ownerId)
                  : takeWithoutOwner(customer, cost, ownerId, fleet));
        });
  }

  /** Refunds the cost of a request that was not sent to any endpoint. */
  public void refund(Customer customer, double cost, Decision decision) {
    switch (decision.source()) {
      case UNLIMITED -> {}
      case UNASKED -> bucket(localAllowances, customer).refund(cost);
      case ALONE -> bucket(fallbackAllowances, customer).refund(cost);
      case COMMON -> refundToOwner(customer, cost, decision.ownerId());
      default -> throw new IllegalStateException("unknown source " + decision.source());
    }
  }

  /** Handles a call of an instance that considers this one the owner of a customer's allowance. */
  public byte[] answer(byte[] message) throws IOException {
    AllowanceMessages.Request request = AllowanceMessages.decodeRequest(message);
    Customer customer =
        blackboard.read(Catalog.ENTRY).customer(request.customerName()).orElse(null);
    if (customer == null || !isOwner(request.customerName())) {
      return AllowanceMessages.encodeReply(AllowanceMessages.NOT_OWNER);
    }
    if (request.cost() < 0) {
      ownedAllowance(customer).refund(-request.cost(), clock.nanoTime());
      return AllowanceMessages.encodeReply(0);
    }
    return AllowanceMessages.encodeReply(
        takeAsOwner(
            customer,
            new AllowanceRequest(request.cost(), request.rank(), request.hasFreeSlots())));
  }

  /**
   * Applies the current customers and instances. An owner creates its buckets here so that they
   * begin to fill before the first request. A bucket that this instance no longer owns is dropped,
   * because another instance grants from it.
   */
  public void refresh() {
    Catalog catalog = blackboard.read(Catalog.ENTRY);
    Set<String> names = catalog.customerNames();
    ownedAllowances.keySet().removeIf(name -> !names.contains(name) || !isOwner(name));
    for (String name : names) {
      if (isOwner(name)) {
        catalog
            .customer(name)
            .filter(known -> known.rateLimit().isLimited())
            .ifPresent(this::ownedAllowance);
      }
    }
    localAllowances.keySet().retainAll(names);
    fallbackAllowances.keySet().retainAll(names);
    unresponsive.retainAll(blackboard.read(FleetView.ENTRY).addresses().keySet());
  }

  /**
   * Returns the instances among which the owner is chosen: the registered ones, and lapsed ones
   * that are not known to be unresponsive.
   */
  private Map<String, InetSocketAddress> candidates(FleetView fleet) {
    if (fleet.lapsed().isEmpty()) {
      return fleet.listed();
    }
    Map<String, InetSocketAddress> candidates = new HashMap<>(fleet.addresses());
    fleet
        .lapsed()
        .keySet()
        .forEach(
            id -> {
              if (unresponsive.contains(id)) {
                candidates.remove(id);
              }
            });
    return candidates;
  }

  /**
   * Checks both candidate sets, because others may already have dropped a lapsed instance that this
   * one has not called yet.
   */
  private boolean isOwner(String customerName) {
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    return isFirstChoice(customerName, candidates(fleet).keySet())
        || isFirstChoice(customerName, fleet.listed().keySet());
  }

  private boolean isFirstChoice(String customerName, Collection<String> instanceIds) {
    return Rendezvous.first(customerName, instanceIds).orElse("").equals(selfId);
  }

  private long takeAsOwner(Customer customer, AllowanceRequest request) {
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    CustomerRateLimiter.Limits terms =
        CustomerRateLimiter.Limits.of(
            customer.rateLimit(),
            bounds.allowanceOverrun(),
            bounds.allowanceSlack(),
            windowSeconds(bounds));
    return ownedAllowance(customer)
        .take(request.cost(), request.rank(), request.hasFreeSlots(), terms, clock.nanoTime());
  }

  private CustomerRateLimiter ownedAllowance(Customer customer) {
    return ownedAllowances.computeIfAbsent(
        customer.name(),
        name ->
            new CustomerRateLimiter(
                blackboard.read(OperatingBounds.ENTRY).allowanceWindowMillis(), clock.nanoTime()));
  }

  private Decision takeWithoutOwner(
      Customer customer, double cost, String ownerId, FleetView fleet) {
    BucketLimits terms = BucketLimits.withoutOwner(customer.rateLimit(), fleet.instanceCount());
    long fallbackMillis =
        bucket(fallbackAllowances, customer).takeWithDebt(cost, terms, clock.nanoTime());
    // By then the owner is called again and may grant what exceeds this instance's own share.
    long waitMillis =
        ownerId.isEmpty() ? fallbackMillis : Math.min(fallbackMillis, OWNER_RETRY_MILLIS);
    return new Decision(waitMillis, Source.ALONE, ownerId);
  }

  private CompletableFuture<Long> requestFromOwner(
      String ownerId, InetSocketAddress address, Customer customer, AllowanceRequest request) {
    byte[] message =
        AllowanceMessages.encodeRequest(
            new AllowanceMessages.Request(
                customer.name(), request.cost(), request.rank(), request.hasFreeSlots()));
    return Completions.thenOnOutcome(
        peers.call(address, PeerMessageKind.ALLOWANCE, message, OWNER_TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            if (unresponsive.onNoReply(ownerId)) {
              LOG.warnf("allowance.owner_lost owner=%s reason=\"%s\"", ownerId, failure);
            }
            return CompletableFuture.failedFuture(failure);
          }
          if (unresponsive.onReply(ownerId)) {
            LOG.infof("allowance.owner_regained owner=%s", ownerId);
          }
          try {
            return CompletableFuture.completedFuture(AllowanceMessages.decodeReply(reply));
          } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
          }
        });
  }

  private void refundToOwner(Customer customer, double cost, String ownerId) {
    if (ownerId.equals(selfId)) {
      ownedAllowance(customer).refund(cost, clock.nanoTime());
      return;
    }
    InetSocketAddress address = blackboard.read(FleetView.ENTRY).addresses().get(ownerId);
    if (address == null || unresponsive.isInBackoff(ownerId)) {
      LOG.infof("allowance.not_returned customer=%s owner=%s", customer.name(), ownerId);
      return;
    }
    Completions.onComplete(
        requestFromOwner(ownerId, address, customer, new AllowanceRequest(-cost, 0, false)),
        (done, failure) -> {
          if (failure != null) {
            LOG.infof("allowance.not_returned customer=%s owner=%s", customer.name(), ownerId);
          }
        });
  }

  private static BucketLimits commonTerms(Customer customer, OperatingBounds bounds) {
    return BucketLimits.forOwner(
        customer.rateLimit(), bounds.allowanceSlack(), windowSeconds(bounds));
  }

  private static double windowSeconds(OperatingBounds bounds) {
    return bounds.allowanceWindowMillis() / (double) TimeUnit.SECONDS.toMillis(1);
  }

  private TokenBucket bucket(Map<String, TokenBucket> buckets, Customer customer) {
    return buckets.computeIfAbsent(customer.name(), name -> new TokenBucket(clock.nanoTime()));
  }
}
