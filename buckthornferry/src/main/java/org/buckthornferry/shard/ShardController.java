package org.buckthornferry.shard;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.ShardOwners;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Acquires, hands over, releases and announces shards, and writes {@link ShardMap#ENTRY}. Futures
 * of the store must complete on the control thread and must fail when a response does not arrive in
 * time.
 */
public final class ShardController implements Controller, ShardOwnership {
  private static final Logger LOG = Logger.getLogger(ShardController.class);

  /** The interval between passes over all shards. */
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Limits the store calls for shards to 40 a second for each instance. */
  private static final int MAX_CALLS_PER_SWEEP = 2;

  private static final int MAX_CALLS_IN_FLIGHT = 8;
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A shard is handed over only after the placement has been stable for this time. */
  private static final long HANDOVER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String selfId;
  private final long incarnation;
  private final ShardSettings settings;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final MonotonicClock clock;
  private final LongSupplier wallClockMillis;
  private final RandomGenerator random;
  private final CountingStore store;
  private final InstanceLease lease;
  private final LeaseExpiryPoller leaseExpiryPoller;
  private final ShardLocality locality;
  private final Consumer<ShardMap> writer;
  private final List<ShardSlot> slots = new ArrayList<>();
  private final Map<ShardKind, Map<Integer, String>> desired = new EnumMap<>(ShardKind.class);
  private List<String> placedMembers = List.of();
  private long placementChangedNanos;
  private long nextSweepNanos;
  private long nextReadNanos;
  private long nextAnnounceNanos;
  private boolean readInFlight;
  private boolean recordsLoaded;
  private boolean leaving;
  private boolean provisionalEnded;
  private boolean mapChanged = true;
  private boolean ownedChanged;
  private int callsInFlight;
  private int callsInSweep;
  private long attempts;

  /**
   * Creates the controller of one instance.
   *
   * @param incarnation the start time of this process, in milliseconds since the epoch
   * @param wallClockMillis the wall clock, in milliseconds since the epoch
   */
  public ShardController(
      String selfId,
      long incarnation,
      ShardSettings settings,
      KeyValueStore store,
      Blackboard blackboard,
      PeerSender sender,
      MonotonicClock clock,
      LongSupplier wallClockMillis,
      RandomGenerator random) {
    this.selfId = selfId;
    this.incarnation = incarnation;
    this.settings = settings;
    this.blackboard = blackboard;
    this.sender = sender;
    this.clock = clock;
    this.wallClockMillis = wallClockMillis;
    this.random = random;
    this.store = new CountingStore(store);
    this.lease = new InstanceLease(this.store, clock, settings.leaseTtlMillis());
    this.leaseExpiryPoller = new LeaseExpiryPoller(this.store);
    this.locality = new ShardLocality(settings.shardCount());
    this.writer = blackboard.writerOf(ShardMap.ENTRY);
    long nowNanos = clock.nanoTime();
    for (ShardKind kind : ShardKind.values()) {
      for (int shard = 0; shard < settings.shardCount(); shard++) {
        slots.add(new ShardSlot(kind, shard, nowNanos));
      }
    }
    nextSweepNanos = nowNanos;
    nextReadNanos = nowNanos;
    nextAnnounceNanos = nowNanos + ANNOUNCE_INTERVAL_NANOS;
  }

  @Override
  public boolean ownsNow(ShardKind kind, int shard, long nowNanos) {
    return !leaving
        && slot(kind, shard).isOwnedWith(lease.id())
        && (lease.isValid(nowNanos) || isProvisional(nowNanos));
  }

  @Override
  public Optional<ShardTenure> tenure(ShardKind kind, int shard) {
    return Optional.ofNullable(slot(kind, shard).tenure());
  }

  @Override
  public boolean isProvisional(long nowNanos) {
    if (leaving || provisionalEnded || lease.id() == 0 || lease.isValid(nowNanos)) {
      return false;
    }
    StoreOutageConsensus.Verdict verdict =
        StoreOutageConsensus.evaluate(
            blackboard.read(MembershipView.ENTRY), lease.validUntilNanos(), nowNanos);
    provisionalEnded = verdict == StoreOutageConsensus.Verdict.CONTRADICTED;
    return verdict == StoreOutageConsensus.Verdict.DOWN && lease.isFailing();
  }

  /**
   * Returns the former owners in the known record of a shard, newest first; empty when no record is
   * known.
   */
  public List<ShardRecord.FormerOwner> formerOwners(ShardKind kind, int shard) {
    ShardSlot.Stored stored = slot(kind, shard).stored();
    return stored == null ? List.of() : stored.shardRecord().formerOwners();
  }

  /**
   * Returns whether this instance may send a command to an endpoint now. Commands to an endpoint
   * that ignores fencing numbers wait until a paused former owner must have noticed that it lost
   * the shard.
   */
  public boolean maySendCommand(EndpointDeclaration endpoint, long nowNanos) {
    int shard = shardOf(endpoint.id());
    if (!ownsNow(ShardKind.ENDPOINT, shard, nowNanos)) {
      return false;
    }
    ShardTenure tenure = slot(ShardKind.ENDPOINT, shard).tenure();
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(settings.pauseBoundMillis());
    return endpoint.checksFencing()
        || tenure.firstFencingNumber() == 1
        || nowNanos - tenure.acquiredNanos() >= waitNanos;
  }

  /**
   * Returns false when the last call to the store failed and none succeeded within the given time;
   * reported in heartbeats.
   */
  public boolean reachedStoreWithin(long nanos, long nowNanos) {
    return lease.reachedWithin(nanos, nowNanos);
  }

  /** Returns the number of store calls by kind since the start. */
  public Map<String, Long> storeCalls() {
    Map<String, Long> calls = new TreeMap<>();
    store.counts().forEach((call, count) -> calls.put(call.name(), count));
    return calls;
  }

  /** Releases every shard and the lease; the controller acquires no shard afterwards. */
  public void releaseAll(long nowNanos) {
    if (leaving) {
      return;
    }
    Map<String, List<ShardOwners.Shard>> released = new LinkedHashMap<>();
    for (ShardSlot slot : slots) {
      String nextOwner = desiredOwner(slot);
      if (ownsNow(slot.kind(), slot.shard(), nowNanos)
          && nextOwner != null
          && !nextOwner.equals(selfId)) {
        released.computeIfAbsent(nextOwner, id -> new ArrayList<>()).add(announcement(slot));
      }
    }
    leaving = true;
    lease.close();
    LOG.infof("shard.leave shards=%d", released.values().stream().mapToInt(List::size).sum());
    released.forEach(
        (nextOwner, shards) ->
            sender.send(nextOwner, new ShardOwners(incarnation, List.of(), shards)));
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (!(message instanceof ShardOwners owners)) {
      return;
    }
    for (ShardOwners.Shard shard : owners.owned()) {
      ShardOwner owner =
          new ShardOwner(fromInstanceId, owners.incarnation(), shard.fencingNumber());
      announcedSlot(shard).ifPresent(slot -> mapChanged |= slot.learnOwner(owner));
    }
    for (ShardOwners.Shard shard : owners.released()) {
      announcedSlot(shard).ifPresent(ShardSlot::markStale);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    lease.onTick(nowNanos);
    provisionalEnded &= !lease.isValid(nowNanos);
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    Member self = view.members().get(selfId);
    if (self != null && self.state() == MemberState.LEAVING) {
      releaseAll(nowNanos);
    }
    if (nowNanos - nextSweepNanos >= 0) {
      nextSweepNanos = nowNanos + SWEEP_INTERVAL_NANOS;
      updatePlacement(view, nowNanos);
      readRecordsWhenDue(view, nowNanos);
      sweep(nowNanos);
    }
    announce(view, nowNanos);
    if (mapChanged) {
      publishMap();
    }
  }

  @Override
  public Map<String, Object> dump() {
    long nowNanos = clock.nanoTime();
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("leaseValid", lease.isValid(nowNanos));
    dump.put("provisional", isProvisional(nowNanos));
    dump.put("storeCalls", storeCalls());
    Map<String, Object> owned = new LinkedHashMap<>();
    for (ShardSlot slot : slots) {
      if (ownsNow(slot.kind(), slot.shard(), nowNanos)) {
        owned.put(slot.key(), slot.tenure().fencingNumber());
      }
    }
    dump.put("owned", owned);
    return dump;
  }

  private void updatePlacement(MembershipView view, long nowNanos) {
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    List<Member> eligible = new ArrayList<>();
    List<String> key = new ArrayList<>();
    for (Member member : view.eligibleOwners()) {
      if (!config.declarations().isDrained(member.failureDomain())) {
        eligible.add(member);
        key.add(member.instanceId());
        key.add(member.failureDomain());
      }
    }
    boolean localityChanged = locality.update(config);
    if (!localityChanged && key.equals(placedMembers)) {
      return;
    }
    placedMembers = key;
    placementChangedNanos = nowNanos;
    ShardPlacement placement = new ShardPlacement(settings.shardCount());
    for (ShardKind kind : ShardKind.values()) {
      desired.put(
          kind,
          placement.place(
              kind,
              ShardPlacement.candidates(kind, eligible),
              kind == ShardKind.ENDPOINT ? locality::weight : (shard, domain) -> 1.0));
    }
  }

  private void readRecordsWhenDue(MembershipView view, long nowNanos) {
    if (readInFlight || leaving || nowNanos - nextReadNanos < 0) {
      return;
    }
    readInFlight = true;
    // Limits the reads of all instances together to 20 a second.
    long periodMillis = Math.max(settings.recordReadIntervalMillis(), view.members().size() * 50L);
    long jitterMillis = random.nextLong(periodMillis / 4 + 1);
    nextReadNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(periodMillis + jitterMillis);
    store.list(
        "shard/",
        (values, failure) -> {
          readInFlight = false;
          if (failure != null) {
            nextReadNanos = recordsLoaded ? nextReadNanos : clock.nanoTime() + RETRY_DELAY_NANOS;
            return;
          }
          applyRecords(values);
        });
  }

  private void applyRecords(List<VersionedValue> values) {
    Map<String, VersionedValue> byKey = new HashMap<>();
    Set<Long> leases = new HashSet<>();
    values.forEach(value -> byKey.put(value.key(), value));
    for (ShardSlot slot : slots) {
      if (!slot.isInFlight()) {
        applyRecord(slot, byKey.get(slot.key()));
      }
      if (slot.stored() != null) {
        leases.add(slot.stored().shardRecord().leaseId());
      }
    }
    leaseExpiryPoller.retain(leases);
    recordsLoaded = true;
    mapChanged = true;
  }

  private void applyRecord(ShardSlot slot, VersionedValue value) {
    if (value == null) {
      if (slot.stored() == null) {
        slot.recordRead(null);
      }
      return;
    }
    ShardRecord shardRecord = ShardRecord.decode(value.value());
    slot.recordRead(new ShardSlot.Stored(value.version(), shardRecord));
    resumeOwnership(slot, value, shardRecord);
  }

  /**
   * Resumes ownership of a shard whose record names this process and its current lease, which
   * happens when the response to the write was lost. After a release was sent, the record is
   * rewritten instead, because the store may still apply the release to the version that was read.
   */
  private void resumeOwnership(ShardSlot slot, VersionedValue value, ShardRecord shardRecord) {
    if (slot.stored().version() != value.version()
        || slot.isReleaseAttempted()
        || slot.isOwnedWith(lease.id())
        || shardRecord.leaseId() == ShardRecord.RELEASED
        || shardRecord.leaseId() != lease.id()
        || !shardRecord.isOwnedBy(selfId, incarnation)) {
      return;
    }
    ShardSlot.Attempt attempt = slot.attempt();
    boolean own = attempt != null && attempt.id().equals(value.attemptId());
    acquired(slot, own ? attempt.base() : null, shardRecord);
  }

  private void sweep(long nowNanos) {
    callsInSweep = 0;
    if (leaving || !recordsLoaded || !lease.isValid(nowNanos)) {
      return;
    }
    int offset = random.nextInt(slots.size());
    for (int i = 0; i < slots.size() && mayCall(); i++) {
      ShardSlot slot = slots.get((i + offset) % slots.size());
      if (slot.isInFlight() || nowNanos - slot.nextAttemptNanos() < 0) {
        continue;
      }
      String desiredOwner = desiredOwner(slot);
      boolean owned = slot.isOwnedWith(lease.id());
      if (selfId.equals(desiredOwner)) {
        if (!owned) {
          tryAcquire(slot, nowNanos);
        }
      } else if (desiredOwner != null && (owned || slot.isReleaseAttempted())) {
        handOver(slot, desiredOwner, nowNanos);
      }
    }
  }

  private boolean mayCall() {
    return callsInSweep < MAX_CALLS_PER_SWEEP && callsInFlight < MAX_CALLS_IN_FLIGHT;
  }

  private void tryAcquire(ShardSlot slot, long nowNanos) {
    if (!slot.isLoaded()) {
      readRecord(slot);
      return;
    }
    ShardSlot.Stored stored = slot.stored();
    if (stored == null) {
      write(slot, null, new ShardRecord(selfId, incarnation, lease.id(), 1, List.of()));
      return;
    }
    ShardRecord current = stored.shardRecord();
    boolean own = current.isOwnedBy(selfId, incarnation) && current.leaseId() == lease.id();
    if (own
        || current.leaseId() == ShardRecord.RELEASED
        || leaseExpiryPoller.hasEnded(current.leaseId(), nowNanos)) {
      write(
          slot,
          current,
          current.acquiredBy(
              selfId,
              incarnation,
              lease.id(),
              wallClockMillis.getAsLong(),
              settings.claimWindowMillis()));
    }
  }

  private void handOver(ShardSlot slot, String nextOwner, long nowNanos) {
    Member member = blackboard.read(MembershipView.ENTRY).members().get(nextOwner);
    if (member == null
        || member.state() != MemberState.ALIVE
        || nowNanos - placementChangedNanos < HANDOVER_DELAY_NANOS) {
      return;
    }
    if (!slot.isLoaded() || slot.stored() == null) {
      readRecord(slot);
      return;
    }
    ShardRecord current = slot.stored().shardRecord();
    if (!current.isOwnedBy(selfId, incarnation) || current.leaseId() == ShardRecord.RELEASED) {
      return;
    }
    slot.startRelease();
    LOG.infof("shard.handover shard=%s to=%s", slot.key(), nextOwner);
    write(slot, current, current.released());
  }

  private void write(ShardSlot slot, ShardRecord base, ShardRecord written) {
    String attemptId = selfId + "/" + incarnation + "/" + ++attempts;
    ShardSlot.Attempt attempt = new ShardSlot.Attempt(attemptId, base, written);
    slot.setAttempt(attempt);
    callStarted(slot);
    long expected = slot.stored() == null ? 0 : slot.stored().version();
    store.compareAndSwap(
        slot.key(),
        expected,
        written.encode(),
        attemptId,
        (version, failure) -> {
          if (failure == null) {
            callFinished(slot, clock.nanoTime());
            slot.recordRead(new ShardSlot.Stored(version, written));
            onWritten(slot, attempt);
          } else {
            writeFailed(slot, StoreException.kindOf(failure));
          }
        });
  }

  private void writeFailed(ShardSlot slot, StoreException.Kind kind) {
    boolean mayHaveChanged =
        kind == StoreException.Kind.OUTCOME_UNKNOWN || kind == StoreException.Kind.CONFLICT;
    if (mayHaveChanged) {
      slot.markStale();
    }
    long nowNanos = clock.nanoTime();
    callFinished(slot, mayHaveChanged ? nowNanos : nowNanos + RETRY_DELAY_NANOS);
    LOG.infof("shard.write.failed shard=%s kind=%s", slot.key(), kind);
  }

  private void readRecord(ShardSlot slot) {
    callStarted(slot);
    store.get(
        slot.key(),
        (value, failure) -> {
          long nowNanos = clock.nanoTime();
          callFinished(slot, failure == null ? nowNanos : nowNanos + RETRY_DELAY_NANOS);
          if (failure == null) {
            if (value.isEmpty()) {
              slot.recordRead(null);
            } else {
              applyRecord(slot, value.get());
            }
            mapChanged = true;
          }
        });
  }

  private void onWritten(ShardSlot slot, ShardSlot.Attempt attempt) {
    mapChanged = true;
    if (attempt.written().leaseId() != ShardRecord.RELEASED) {
      acquired(slot, attempt.base(), attempt.written());
      return;
    }
    String nextOwner = desiredOwner(slot);
    if (nextOwner != null && !nextOwner.equals(selfId)) {
      ShardOwners.Shard released =
          new ShardOwners.Shard(
              slot.kind().code(), slot.shard(), attempt.written().fencingNumber());
      sender.send(nextOwner, new ShardOwners(incarnation, List.of(), List.of(released)));
    }
  }

  private void acquired(ShardSlot slot, ShardRecord base, ShardRecord written) {
    slot.acquired(base, written, clock.nanoTime());
    LOG.infof("shard.taken shard=%s fencing=%d", slot.key(), written.fencingNumber());
    mapChanged = true;
    ownedChanged = true;
  }

  private void callStarted(ShardSlot slot) {
    slot.started();
    callsInFlight++;
    callsInSweep++;
  }

  private void callFinished(ShardSlot slot, long retryAtNanos) {
    slot.finished(retryAtNanos);
    callsInFlight--;
  }

  /** Announces changes to all members, and all shards to a random member each second as repair. */
  private void announce(MembershipView view, long nowNanos) {
    boolean due = nowNanos - nextAnnounceNanos >= 0;
    if (!due && !ownedChanged) {
      return;
    }
    List<ShardOwners.Shard> owned = new ArrayList<>();
    for (ShardSlot slot : slots) {
      if (ownsNow(slot.kind(), slot.shard(), nowNanos)) {
        owned.add(announcement(slot));
      }
    }
    List<Member> others = new ArrayList<>(view.running());
    others.removeIf(member -> member.instanceId().equals(selfId));
    if (!owned.isEmpty() && !others.isEmpty()) {
      ShardOwners message = new ShardOwners(incarnation, owned, List.of());
      List<Member> receivers =
          ownedChanged ? others : List.of(others.get(random.nextInt(others.size())));
      receivers.forEach(member -> sender.send(member.instanceId(), message));
    }
    ownedChanged = false;
    nextAnnounceNanos = nowNanos + ANNOUNCE_INTERVAL_NANOS;
  }

  private void publishMap() {
    mapChanged = false;
    Map<ShardKind, Map<Integer, ShardOwner>> owners = new EnumMap<>(ShardKind.class);
    for (ShardSlot slot : slots) {
      slot.owner()
          .ifPresent(
              owner ->
                  owners
                      .computeIfAbsent(slot.kind(), kind -> new TreeMap<>())
                      .put(slot.shard(), owner));
    }
    writer.accept(new ShardMap(settings.shardCount(), owners));
  }

  private static ShardOwners.Shard announcement(ShardSlot slot) {
    return new ShardOwners.Shard(slot.kind().code(), slot.shard(), slot.tenure().fencingNumber());
  }

  private String desiredOwner(ShardSlot slot) {
    return Objects.requireNonNullElse(desired.get(slot.kind()), Map.<Integer, String>of())
        .get(slot.shard());
  }

  private Optional<ShardSlot> announcedSlot(ShardOwners.Shard shard) {
    return shard.shard() < settings.shardCount()
        ? ShardKind.ofCode(shard.kind()).map(kind -> slot(kind, shard.shard()))
        : Optional.empty();
  }

  private int shardOf(String key) {
    return Math.floorMod(ShardMap.hash(key), settings.shardCount());
  }

  private ShardSlot slot(ShardKind kind, int shard) {
    return slots.get(kind.code() * settings.shardCount() + shard);
  }
}
