package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Registers this instance in the store under a lease and tracks the other registered instances.
 * While the store is unreachable, the last view stays in force. An instance whose own registration
 * has ended leaves its view when it leaves those of the others, so that two instances do not act as
 * the owner of the same thing.
 */
public final class InstanceRegistry implements StoreView.Subscriber {
  private static final Logger LOG = Logger.getLogger(InstanceRegistry.class);

  static final String PREFIX = "buckthornferry/instances/";

  /** Base period of lease renewals, in milliseconds. */
  private static final long RENEWAL_PERIOD_MILLIS = 2_000;

  /**
   * Added to the renewal period per instance, in milliseconds, so that the load on the store grows
   * slowly with the fleet.
   */
  private static final long RENEWAL_PERIOD_MILLIS_PER_INSTANCE = 40;

  /** Time to live of the lease, in renewal periods; it survives missed renewals for that long. */
  private static final int LEASE_PERIODS = 3;

  /**
   * The longest time to live of a lease, in milliseconds; the others take over the duties of a dead
   * instance when it has ended.
   */
  private static final long MAX_LEASE_MILLIS = 8_000;

  /**
   * The share of its time to live after which a lease is renewed at the latest: the fleet may have
   * grown since it was granted.
   */
  private static final double MAX_RENEWAL_SHARE = 0.7;

  /**
   * How long an instance stays in the view after its registration ended, in milliseconds. All
   * registrations may end in a store outage and return within a few renewal periods.
   */
  static final long LAPSED_RETENTION_MILLIS = 10_000;

  /**
   * How long this instance stays in its own view after its registration ended, in milliseconds.
   * Shorter than for others, because it may learn of the end two seconds later than they do.
   */
  static final long LAPSED_SELF_RETENTION_MILLIS = 8_000;

  /** Time over which instances register again after the store was restored, in milliseconds. */
  private static final long RESTORE_MILLIS = 100;

  /** Added to that time per instance, in milliseconds. */
  private static final long RESTORE_MILLIS_PER_INSTANCE = 4;

  private final SharedStore store;
  private final String selfId;
  private final InstanceRecord self;
  private final Consumer<FleetView> viewWriter;
  private final Runnable onChanged;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final StoreView view;
  private final Map<String, Lapsed> lapsed = new HashMap<>();
  private Map<String, InetSocketAddress> listed = Map.of();
  private Map<String, String> failureDomains = Map.of();
  private Map<String, InetSocketAddress> forwardAddresses = Map.of();
  private Map<String, Double> processorShares = Map.of();
  private Optional<Lease> lease = Optional.empty();
  private long leaseTtlMillis;
  private StorePosition registeredAt = StorePosition.NONE;
  private Scheduler.Task nextRenewal = Scheduler.Task.NONE;
  private boolean isRenewing;
  private boolean wasRegistered;
  private boolean stopped;

  private record Lapsed(InetSocketAddress address, double processorShare, long untilNanos) {}

  /**
   * Creates a registry that does not register until started.
   *
   * @param forwardAddress address at which this instance takes requests to endpoints from others
   * @param processorShare processor time that this instance may use, in cores
   * @param onChanged called after each write to the blackboard
   */
  public InstanceRegistry(
      SharedStore store,
      StoreView view,
      String selfId,
      InetSocketAddress peerAddress,
      Optional<InetSocketAddress> forwardAddress,
      String failureDomain,
      double processorShare,
      Blackboard blackboard,
      Runnable onChanged,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.store = store;
    this.view = view;
    this.selfId = selfId;
    this.self = new InstanceRecord(peerAddress, forwardAddress, failureDomain, processorShare);
    this.viewWriter = blackboard.writerOf(FleetView.ENTRY);
    this.onChanged = onChanged;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    view.subscribe(this);
  }

  /** Registers this instance and keeps its lease renewed. */
  public void start() {
    registerOrRenew();
  }

  /**
   * Removes this instance from the store. The lease is left to expire: if the store was restored,
   * its id may belong to another instance.
   */
  public CompletableFuture<Void> stop() {
    stopped = true;
    nextRenewal.cancel();
    if (registeredAt.equals(StorePosition.NONE)) {
      return CompletableFuture.completedFuture(null);
    }
    return view.write(
            StoreTransaction.removal(PREFIX + selfId)
                .onlyIf(PREFIX + selfId, registeredAt.revision()))
        .thenAccept(position -> {});
  }

  private void registerOrRenew() {
    if (stopped || isRenewing) {
      return;
    }
    isRenewing = true;
    CompletableFuture<Void> registered = lease.isEmpty() ? register() : renew(lease.get());
    Completions.onComplete(
        registered,
        (done, failure) -> {
          isRenewing = false;
          if (failure != null) {
            LOG.infof("instance.registration_failed reason=%s", failure.getMessage());
          }
          // Without a lease although nothing failed: the store was restored meanwhile.
          scheduleRenewal(
              failure == null && lease.isEmpty()
                  ? restoreDelayMillis()
                  : (long) (nextRenewalMillis() * (0.9 + 0.2 * random.nextDouble())));
        });
  }

  private long restoreDelayMillis() {
    return random.nextLong(RESTORE_MILLIS + RESTORE_MILLIS_PER_INSTANCE * listed.size());
  }

  private void scheduleRenewal(long delayMillis) {
    nextRenewal.cancel();
    nextRenewal = scheduler.schedule(this::registerOrRenew, delayMillis);
  }

  private CompletableFuture<Void> register() {
    long ttlMillis = Math.min(MAX_LEASE_MILLIS, LEASE_PERIODS * renewalPeriodMillis());
    return store
        .grantLease(ttlMillis)
        .thenCompose(
            granted -> {
              lease = Optional.of(granted);
              leaseTtlMillis = ttlMillis;
              return write(granted);
            });
  }

  private CompletableFuture<Void> renew(Lease current) {
    return Completions.thenOnOutcome(
        store.renewLease(current),
        (done, failure) -> {
          if (failure != null && StoreException.kindOf(failure) == Kind.LEASE_EXPIRED) {
            LOG.infof("instance.lease_expired lease=%s", current);
            lease = Optional.empty();
            return register();
          }
          if (failure != null) {
            return CompletableFuture.failedFuture(failure);
          }
          boolean isRegistered =
              !view.isReachable()
                  || view.item(PREFIX + selfId).filter(StoreItem::isStored).isPresent();
          return isRegistered ? CompletableFuture.completedFuture(null) : write(current);
        });
  }

  private CompletableFuture<Void> write(Lease current) {
    return view.write(
            StoreTransaction.put(PREFIX + selfId, self.encode(), OptionalLong.of(current.id())))
        .thenAccept(
            position -> {
              registeredAt = position;
              if (position.era() != current.era()) {
                // The lease was granted before the store was restored and may be another one now.
                lease = Optional.empty();
              }
            });
  }

  /** Keeps the lease if the restored store has it, else registers again. */
  @Override
  public void onStoreRestored() {
    long era = view.position().era();
    if (lease.isEmpty() || lease.get().era() == era) {
      return;
    }
    boolean isKept =
        view.item(PREFIX + selfId)
            .filter(item -> item.isStored() && item.revision() == registeredAt.revision())
            .isPresent();
    LOG.infof("instance.store_restored era=%d lease=%s isKept=%s", era, lease.get(), isKept);
    if (isKept) {
      lease = Optional.of(new Lease(lease.get().id(), era));
      return;
    }
    lease = Optional.empty();
    scheduleRenewal(restoreDelayMillis());
  }

  @Override
  public String prefix() {
    return PREFIX;
  }

  @Override
  public void onChanged() {
    Map<String, InetSocketAddress> registered = new HashMap<>();
    Map<String, String> domains = new HashMap<>();
    Map<String, InetSocketAddress> forwards = new HashMap<>();
    Map<String, Double> shares = new HashMap<>();
    for (StoreItem item : view.items(PREFIX)) {
      try {
        String id = item.key().substring(PREFIX.length());
        InstanceRecord other = InstanceRecord.decode(item.value());
        registered.put(id, other.peerAddress());
        domains.put(id, other.failureDomain());
        shares.put(id, other.processorShare());
        other.forwardAddress().ifPresent(address -> forwards.put(id, address));
      } catch (IOException e) {
        LOG.warnf("instance.unreadable key=%s reason=%s", item.key(), e.getMessage());
      }
    }
    wasRegistered |= registered.containsKey(selfId);
    if (!wasRegistered || registered.isEmpty()) {
      registered.put(selfId, self.peerAddress());
      domains.put(selfId, self.failureDomain());
      shares.put(selfId, self.processorShare());
    }
    if (!registered.keySet().equals(listed.keySet())) {
      LOG.infof(
          "instances.changed count=%d previous=%d storePosition=%s",
          registered.size(), listed.size(), view.position());
    }
    long nowNanos = clock.nanoTime();
    listed.forEach(
        (id, address) -> {
          if (!registered.containsKey(id)) {
            long retentionMillis =
                id.equals(selfId) ? LAPSED_SELF_RETENTION_MILLIS : LAPSED_RETENTION_MILLIS;
            long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(retentionMillis);
            double processorShare =
                processorShares.getOrDefault(id, FleetView.DEFAULT_PROCESSOR_SHARE);
            lapsed.putIfAbsent(id, new Lapsed(address, processorShare, untilNanos));
            scheduler.schedule(this::publish, retentionMillis + 1);
          }
        });
    listed = Map.copyOf(registered);
    failureDomains = Map.copyOf(domains);
    forwardAddresses = Map.copyOf(forwards);
    processorShares = Map.copyOf(shares);
    publish();
  }

  private void publish() {
    long nowNanos = clock.nanoTime();
    lapsed
        .entrySet()
        .removeIf(
            entry ->
                listed.containsKey(entry.getKey()) || entry.getValue().untilNanos - nowNanos <= 0);
    Map<String, InetSocketAddress> lapsedAddresses = new HashMap<>();
    Map<String, Double> shares = new HashMap<>(processorShares);
    lapsed.forEach(
        (id, entry) -> {
          lapsedAddresses.put(id, entry.address);
          shares.put(id, entry.processorShare);
        });
    viewWriter.accept(
        new FleetView(listed, lapsedAddresses, failureDomains, forwardAddresses, shares));
    onChanged.run();
  }

  private long nextRenewalMillis() {
    return lease.isPresent()
        ? Math.min(renewalPeriodMillis(), (long) (MAX_RENEWAL_SHARE * leaseTtlMillis))
        : renewalPeriodMillis();
  }

  private long renewalPeriodMillis() {
    return RENEWAL_PERIOD_MILLIS + RENEWAL_PERIOD_MILLIS_PER_INSTANCE * listed.size();
  }
}
