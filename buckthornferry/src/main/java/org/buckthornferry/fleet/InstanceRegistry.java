package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreChange;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Registers this instance in the store under a lease, reads the other ones, and divides customers'
 * allowances by demand. While the store is away the last view holds.
 */
public final class InstanceRegistry {
  private static final Logger LOG = Logger.getLogger(InstanceRegistry.class);

  static final String PREFIX = "buckthornferry/instances/";

  /** The shortest time between two looks at the store, in milliseconds. */
  private static final long PERIOD_MILLIS = 2_000;

  /** Added to the period for each instance, so that the store's load grows slowly with them. */
  private static final long PERIOD_MILLIS_PER_INSTANCE = 40;

  /** The lease outlives this many missed renewals. */
  private static final int LEASE_PERIODS = 3;

  /** The part of an allowance that is divided equally, so that new demand finds some. */
  private static final double EQUAL_SHARE = 0.4;

  /**
   * How long an instance that is no longer listed keeps its part, in milliseconds. It may be cut
   * off from the store and go on; outages last about as long.
   */
  private static final long VANISHED_MILLIS = 10_000;

  /** The part that an instance goes on with when it has been cut off for longer than that. */
  private static final double CUT_OFF_SHARE = 0.25;

  /**
   * How much a part grows in one period at most. Parts shrink at once, but the others learn of new
   * demand up to one period later, and until then they still use their former parts.
   */
  private static final double GROWTH = 1.2;

  /** A listing is relied on for this many periods. */
  private static final double VALID_PERIODS = 2.2;

  /** How often an instance looks whether its own demand has jumped, in milliseconds. */
  private static final long JUMP_CHECK_MILLIS = 400;

  /** Demand that has grown by this factor is published at once. */
  private static final double JUMP_FACTOR = 1.6;

  /** A demand that has changed by less than this part of the total is not written again. */
  private static final double WRITE_THRESHOLD = 0.2;

  private final SharedStore store;
  private final String selfId;
  private final String peerAddress;
  private final Supplier<Map<String, Double>> demand;
  private final Consumer<FleetView> viewWriter;
  private final Runnable onChanged;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Map<String, Vanished> vanished = new HashMap<>();
  private Map<String, InstanceRecord> instances = Map.of();
  private Map<String, Double> writtenDemand = Map.of();
  private OptionalLong leaseId = OptionalLong.empty();
  private Map<String, Double> lastShares = Map.of();
  private long confirmedNanos;
  private boolean isCutOff;
  private boolean isWriting;
  private boolean stopped;

  private record Vanished(InstanceRecord instance, long untilNanos) {}

  /**
   * Creates a registry that does nothing yet.
   *
   * @param demand each customer's demand at this instance, per second
   * @param onChanged called after each change on the blackboard
   */
  public InstanceRegistry(
      SharedStore store,
      String selfId,
      String peerAddress,
      Supplier<Map<String, Double>> demand,
      Blackboard blackboard,
      Runnable onChanged,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.store = store;
    this.selfId = selfId;
    this.peerAddress = peerAddress;
    this.demand = demand;
    this.viewWriter = blackboard.writerOf(FleetView.ENTRY);
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
  }

  /** Starts to register and to read. */
  public void start() {
    round();
    scheduler.schedule(this::checkForJump, JUMP_CHECK_MILLIS);
  }

  /** Takes this instance out of the store. */
  public CompletableFuture<Void> stop() {
    stopped = true;
    if (leaseId.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return store.endLease(leaseId.getAsLong());
  }

  /** Returns where the other instances listen for peers. */
  public List<InetSocketAddress> peerAddresses() {
    List<InetSocketAddress> addresses = new ArrayList<>();
    instances.forEach(
        (id, instance) -> {
          if (!id.equals(selfId)) {
            addresses.add(Addresses.parse(instance.peerAddress()));
          }
        });
    return addresses;
  }

  private void round() {
    if (stopped) {
      return;
    }
    CompletableFuture<Void> registered = leaseId.isEmpty() ? register() : renew();
    Completions.onComplete(
        registered,
        (done, failure) -> {
          if (failure != null) {
            LOG.infof("instance.registration_failed reason=%s", failure.getMessage());
          }
          read();
        });
  }

  private CompletableFuture<Void> register() {
    long ttlMillis = LEASE_PERIODS * periodMillis();
    return store
        .grantLease(ttlMillis)
        .thenCompose(
            granted -> {
              leaseId = OptionalLong.of(granted);
              return write();
            });
  }

  private CompletableFuture<Void> renew() {
    return Completions.thenOnOutcome(
        store.renewLease(leaseId.getAsLong()),
        (done, failure) -> {
          if (failure != null && StoreException.kindOf(failure) == Kind.LEASE_EXPIRED) {
            LOG.infof("instance.lease_expired lease=%d", leaseId.getAsLong());
            leaseId = OptionalLong.empty();
            return register();
          }
          if (failure != null) {
            return CompletableFuture.failedFuture(failure);
          }
          boolean isRegistered = instances.containsKey(selfId);
          return isRegistered && !hasMoved() ? CompletableFuture.completedFuture(null) : write();
        });
  }

  private void checkForJump() {
    if (stopped) {
      return;
    }
    scheduler.schedule(this::checkForJump, JUMP_CHECK_MILLIS);
    boolean hasJumped = false;
    for (Map.Entry<String, Double> entry : demand.get().entrySet()) {
      double written = writtenDemand.getOrDefault(entry.getKey(), 0.0);
      hasJumped |= entry.getValue() > JUMP_FACTOR * Math.max(written, meanDemand(entry.getKey()));
    }
    if (hasJumped && leaseId.isPresent() && !isWriting) {
      Completions.onComplete(
          write(),
          (done, failure) -> {
            if (failure != null) {
              LOG.infof("instance.registration_failed reason=%s", failure.getMessage());
            }
          });
    }
  }

  /** Returns the demand for a customer at an average instance, as far as it was published. */
  private double meanDemand(String customerName) {
    double total = 0;
    for (InstanceRecord instance : instances.values()) {
      total += instance.demandPerSecond().getOrDefault(customerName, 0.0);
    }
    return total / Math.max(1, instances.size());
  }

  private boolean hasMoved() {
    Map<String, Double> current = demand.get();
    double total = 0;
    double moved = 0;
    for (Map.Entry<String, Double> entry : current.entrySet()) {
      total += entry.getValue();
      moved += Math.abs(entry.getValue() - writtenDemand.getOrDefault(entry.getKey(), 0.0));
    }
    return moved > WRITE_THRESHOLD * total;
  }

  private CompletableFuture<Void> write() {
    Map<String, Double> current = demand.get();
    InstanceRecord record = new InstanceRecord(peerAddress, current);
    isWriting = true;
    return store
        .apply(StoreChange.put(PREFIX + selfId, record.encode(), leaseId))
        .whenComplete((revision, failure) -> isWriting = false)
        .thenAccept(revision -> writtenDemand = current);
  }

  private void read() {
    readPage("", new TreeMap<>());
  }

  private void readPage(String afterKey, Map<String, InstanceRecord> collected) {
    Completions.onComplete(
        store.list(PREFIX, afterKey),
        (page, failure) -> {
          if (failure != null) {
            LOG.infof("instance.listing_failed reason=%s", failure.getMessage());
            onListingFailed();
            again();
            return;
          }
          page.items().forEach(item -> collect(item, collected));
          if (page.hasMore() && !page.items().isEmpty()) {
            readPage(page.items().get(page.items().size() - 1).key(), collected);
            return;
          }
          adopt(collected);
          again();
        });
  }

  private static void collect(StoreItem item, Map<String, InstanceRecord> collected) {
    try {
      InstanceRecord instance = InstanceRecord.decode(item.value());
      Addresses.parse(instance.peerAddress());
      collected.put(item.key().substring(PREFIX.length()), instance);
    } catch (IOException | IllegalArgumentException e) {
      LOG.warnf("instance.unreadable key=%s reason=%s", item.key(), e.getMessage());
    }
  }

  private void adopt(Map<String, InstanceRecord> read) {
    if (!read.keySet().equals(instances.keySet())) {
      LOG.infof("instances.changed count=%d previous=%d", read.size(), instances.size());
    }
    long nowNanos = clock.nanoTime();
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(VANISHED_MILLIS);
    instances.forEach(
        (id, instance) -> {
          if (!read.containsKey(id) && !id.equals(selfId)) {
            vanished.putIfAbsent(id, new Vanished(instance, untilNanos));
          }
        });
    vanished
        .entrySet()
        .removeIf(
            entry ->
                read.containsKey(entry.getKey()) || entry.getValue().untilNanos - nowNanos <= 0);
    instances = Map.copyOf(read);
    confirmedNanos = nowNanos;
    isCutOff = false;
    publish(1);
  }

  /** Gives up most of this instance's part when the others may have divided it among them. */
  private void onListingFailed() {
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - confirmedNanos);
    boolean isNowCutOff = ageMillis > LEASE_PERIODS * periodMillis() + VANISHED_MILLIS / 2;
    if (isNowCutOff && !isCutOff && !instances.isEmpty()) {
      isCutOff = true;
      LOG.warnf("instance.cut_off listingAgeMillis=%d share=%.2f", ageMillis, CUT_OFF_SHARE);
      publish(CUT_OFF_SHARE);
    }
  }

  private void publish(double part) {
    Map<String, InstanceRecord> counted = new TreeMap<>(instances);
    vanished.forEach((id, entry) -> counted.put(id, entry.instance));
    counted.putIfAbsent(selfId, new InstanceRecord(peerAddress, Map.of()));
    Map<String, Double> target = shares(writtenDemand, selfId, counted);
    target.replaceAll(
        (name, share) -> Math.min(share, GROWTH * lastShares.getOrDefault(name, 1.0)));
    lastShares = Map.copyOf(target);
    Map<String, Double> shares = new HashMap<>();
    target.forEach((name, share) -> shares.put(name, part * share));
    TreeMap<String, InstanceRecord> live = new TreeMap<>(instances);
    live.putIfAbsent(selfId, new InstanceRecord(peerAddress, Map.of()));
    long validMillis = (long) (VALID_PERIODS * periodMillis());
    viewWriter.accept(
        new FleetView(
            List.copyOf(live.keySet()),
            shares,
            totals(writtenDemand, selfId, counted),
            confirmedNanos + TimeUnit.MILLISECONDS.toNanos(validMillis)));
    onChanged.run();
  }

  private static Map<String, Double> totals(
      Map<String, Double> ownDemand, String selfId, Map<String, InstanceRecord> instances) {
    Map<String, Double> totals = new HashMap<>(ownDemand);
    instances.forEach(
        (id, instance) -> {
          if (!id.equals(selfId)) {
            instance
                .demandPerSecond()
                .forEach((name, value) -> totals.merge(name, value, Double::sum));
          }
        });
    return totals;
  }

  /** Returns this instance's part of each customer's allowance. */
  static Map<String, Double> shares(
      Map<String, Double> ownDemand, String selfId, Map<String, InstanceRecord> instances) {
    Map<String, Double> totals = totals(ownDemand, selfId, instances);
    Map<String, Double> shares = new HashMap<>();
    totals.forEach(
        (name, total) -> {
          double equal = 1.0 / instances.size();
          double byDemand = total > 0 ? ownDemand.getOrDefault(name, 0.0) / total : equal;
          shares.put(name, EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * byDemand);
        });
    return shares;
  }

  private void again() {
    scheduler.schedule(this::round, (long) (periodMillis() * (0.9 + 0.2 * random.nextDouble())));
  }

  private long periodMillis() {
    return PERIOD_MILLIS + PERIOD_MILLIS_PER_INSTANCE * instances.size();
  }
}
