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
 * Customers' allowances over all instances. One instance owns the common allowance of a customer
 * and grants from it; which one follows from the customer's name and the instances. Each instance
 * may use a small part without asking, and a larger one while it cannot reach the owner. The owner
 * keeps its state in memory: a new owner starts with nothing saved up.
 */
public final class SharedAllowances {
  private static final Logger LOG = Logger.getLogger(SharedAllowances.class);

  /**
   * How long the owner may take to reply, in milliseconds. A reply takes about two; a short goal of
   * a caller is still met after this.
   */
  private static final long ASK_TIMEOUT_MILLIS = 120;

  /**
   * How long an owner that did not reply is not asked again, in milliseconds. After a restart of
   * all instances the owner is there within a second.
   */
  private static final long ASK_AGAIN_MILLIS = 400;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final MonotonicClock clock;
  private final Map<String, CustomerRateLimiter> common = new HashMap<>();
  private final Map<String, TokenBucket> unasked = new HashMap<>();
  private final Map<String, TokenBucket> alone = new HashMap<>();
  private final Map<String, Long> silentUntilNanos = new HashMap<>();

  /** On which part of an allowance a decision was made. */
  public enum Source {
    /** The customer has no limit. */
    UNLIMITED,
    /** What this instance may use without asking. */
    UNASKED,
    /** The common allowance. */
    COMMON,
    /** What an instance may use that cannot reach the owner. */
    ALONE
  }

  /**
   * A decision about a request.
   *
   * @param waitMillis 0 when the cost was taken, else when the caller may come back
   * @param ownerId the owner of the allowance, or empty while no instance is known
   */
  public record Decision(long waitMillis, Source source, String ownerId) {
    /** Returns whether the request is within the allowance. */
    public boolean isGranted() {
      return waitMillis == 0;
    }
  }

  /**
   * What a request needs of an allowance.
   *
   * @param cost in the customer's unit
   * @param rank the importance of the request; 0 is the most important
   * @param hasFreeSlots whether the request takes no slot from another one
   */
  public record AllowanceRequest(double cost, int rank, boolean hasFreeSlots) {}

  /** Creates allowances from which nothing has been used. */
  public SharedAllowances(
      Blackboard blackboard, PeerCaller peers, String selfId, MonotonicClock clock) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.clock = clock;
  }

  /**
   * Takes a request's cost from its customer's allowance; never fails.
   *
   * @param need what the request needs
   */
  public CompletableFuture<Decision> take(Customer customer, AllowanceRequest need) {
    double cost = need.cost();
    if (!customer.rateLimit().isLimited()) {
      return CompletableFuture.completedFuture(new Decision(0, Source.UNLIMITED, ""));
    }
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    Map<String, InetSocketAddress> candidates = candidates(fleet);
    String ownerId = Rendezvous.first(customer.name(), candidates.keySet()).orElse("");
    if (ownerId.isEmpty() || isSilent(ownerId)) {
      return CompletableFuture.completedFuture(takeAlone(customer, cost, ownerId, fleet));
    }
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    BucketLimits own =
        commonTerms(customer, bounds).localShare(bounds.allowanceOverrun(), fleet.instanceCount());
    if (bucket(unasked, customer).tryTake(cost, own, clock.nanoTime())) {
      return CompletableFuture.completedFuture(new Decision(0, Source.UNASKED, ownerId));
    }
    if (ownerId.equals(selfId)) {
      long waitMillis = takeCommon(customer, need);
      return CompletableFuture.completedFuture(new Decision(waitMillis, Source.COMMON, ownerId));
    }
    return Completions.thenOnOutcome(
        ask(ownerId, candidates.get(ownerId), customer, need),
        (waitMillis, failure) -> {
          boolean isAnswered = failure == null && waitMillis != AllowanceMessages.NOT_OWNER;
          return CompletableFuture.completedFuture(
              isAnswered
                  ? new Decision(waitMillis, Source.COMMON, ownerId)
                  : takeAlone(customer, cost, ownerId, fleet));
        });
  }

  /** Gives back the cost of a request that was not sent to any endpoint. */
  public void refund(Customer customer, double cost, Decision decision) {
    switch (decision.source()) {
      case UNLIMITED -> {}
      case UNASKED -> bucket(unasked, customer).refund(cost);
      case ALONE -> bucket(alone, customer).refund(cost);
      case COMMON -> giveBackCommon(customer, cost, decision.ownerId());
      default -> throw new IllegalStateException("unknown source " + decision.source());
    }
  }

  /** Answers another instance that takes this one for the owner of a customer's allowance. */
  public byte[] answer(byte[] message) throws IOException {
    AllowanceMessages.Ask ask = AllowanceMessages.decodeAsk(message);
    Customer customer = blackboard.read(Catalog.ENTRY).customer(ask.customerName()).orElse(null);
    if (customer == null || !isOwner(ask.customerName())) {
      return AllowanceMessages.encodeReply(AllowanceMessages.NOT_OWNER);
    }
    if (ask.cost() < 0) {
      owned(customer).refund(-ask.cost(), clock.nanoTime());
      return AllowanceMessages.encodeReply(0);
    }
    return AllowanceMessages.encodeReply(
        takeCommon(customer, new AllowanceRequest(ask.cost(), ask.rank(), ask.hasFreeSlots())));
  }

  /**
   * Takes over customers and instances. An owner's allowance begins to fill before the first
   * request; one that this instance owns no more is forgotten, because others grant from it.
   */
  public void refresh() {
    Catalog catalog = blackboard.read(Catalog.ENTRY);
    Set<String> names = catalog.customerNames();
    common.keySet().removeIf(name -> !names.contains(name) || !isOwner(name));
    for (String name : names) {
      if (isOwner(name)) {
        catalog
            .customer(name)
            .filter(known -> known.rateLimit().isLimited())
            .ifPresent(this::owned);
      }
    }
    unasked.keySet().retainAll(names);
    alone.keySet().retainAll(names);
    silentUntilNanos.keySet().retainAll(known(blackboard.read(FleetView.ENTRY)).keySet());
  }

  /**
   * Returns the instances among which the owner is chosen: the registered ones, and those whose
   * registration has ended as long as they reply.
   */
  private Map<String, InetSocketAddress> candidates(FleetView fleet) {
    if (fleet.lapsed().isEmpty()) {
      return fleet.listed();
    }
    Map<String, InetSocketAddress> candidates = known(fleet);
    fleet
        .lapsed()
        .keySet()
        .forEach(
            id -> {
              if (silentUntilNanos.containsKey(id)) {
                candidates.remove(id);
              }
            });
    return candidates;
  }

  private static Map<String, InetSocketAddress> known(FleetView fleet) {
    Map<String, InetSocketAddress> known = new HashMap<>(fleet.lapsed());
    known.putAll(fleet.listed());
    return known;
  }

  /** Others may have dropped a lapsed instance that this one has not called yet. */
  private boolean isOwner(String customerName) {
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    return isFirst(customerName, candidates(fleet).keySet())
        || isFirst(customerName, fleet.listed().keySet());
  }

  private boolean isFirst(String customerName, Collection<String> instanceIds) {
    return Rendezvous.first(customerName, instanceIds).orElse("").equals(selfId);
  }

  private long takeCommon(Customer customer, AllowanceRequest need) {
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    CustomerRateLimiter.Limits terms =
        CustomerRateLimiter.Limits.of(
            customer.rateLimit(),
            bounds.allowanceOverrun(),
            bounds.allowanceSlack(),
            windowSeconds(bounds));
    return owned(customer)
        .take(need.cost(), need.rank(), need.hasFreeSlots(), terms, clock.nanoTime());
  }

  private CustomerRateLimiter owned(Customer customer) {
    return common.computeIfAbsent(
        customer.name(),
        name ->
            new CustomerRateLimiter(
                blackboard.read(OperatingBounds.ENTRY).allowanceWindowMillis(), clock.nanoTime()));
  }

  private Decision takeAlone(Customer customer, double cost, String ownerId, FleetView fleet) {
    BucketLimits terms = BucketLimits.withoutOwner(customer.rateLimit(), fleet.instanceCount());
    long aloneMillis = bucket(alone, customer).takeWithDebt(cost, terms, clock.nanoTime());
    // By then the owner is asked again, and it may grant what this instance may not use alone.
    long waitMillis = ownerId.isEmpty() ? aloneMillis : Math.min(aloneMillis, ASK_AGAIN_MILLIS);
    return new Decision(waitMillis, Source.ALONE, ownerId);
  }

  private CompletableFuture<Long> ask(
      String ownerId, InetSocketAddress address, Customer customer, AllowanceRequest need) {
    byte[] message =
        AllowanceMessages.encodeAsk(
            new AllowanceMessages.Ask(
                customer.name(), need.cost(), need.rank(), need.hasFreeSlots()));
    return Completions.thenOnOutcome(
        peers.call(address, PeerMessageKind.ALLOWANCE, message, ASK_TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            onSilent(ownerId, failure);
            return CompletableFuture.failedFuture(failure);
          }
          if (silentUntilNanos.remove(ownerId) != null) {
            LOG.infof("allowance.owner_regained owner=%s", ownerId);
          }
          try {
            return CompletableFuture.completedFuture(AllowanceMessages.decodeReply(reply));
          } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
          }
        });
  }

  private void onSilent(String ownerId, Throwable failure) {
    long untilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ASK_AGAIN_MILLIS);
    if (silentUntilNanos.put(ownerId, untilNanos) == null) {
      LOG.warnf("allowance.owner_lost owner=%s reason=\"%s\"", ownerId, failure);
    }
  }

  private boolean isSilent(String instanceId) {
    Long untilNanos = silentUntilNanos.get(instanceId);
    return untilNanos != null && untilNanos - clock.nanoTime() > 0;
  }

  private void giveBackCommon(Customer customer, double cost, String ownerId) {
    if (ownerId.equals(selfId)) {
      owned(customer).refund(cost, clock.nanoTime());
      return;
    }
    InetSocketAddress address = known(blackboard.read(FleetView.ENTRY)).get(ownerId);
    if (address == null || isSilent(ownerId)) {
      LOG.infof("allowance.not_returned customer=%s owner=%s", customer.name(), ownerId);
      return;
    }
    Completions.onComplete(
        ask(ownerId, address, customer, new AllowanceRequest(-cost, 0, false)),
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
