package org.buckthornferry.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.HeartbeatRing;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.peer.ConfigReply;
import org.buckthornferry.peer.ConfigRequest;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.MemberUpdate;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.RegionSummary;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.Checks;
import org.jboss.logging.Logger;

/**
 * Distributes configuration revisions: fetches them from the store or from peers, announces them to
 * peers, applies them to {@link ConfigSnapshot#ENTRY}, and decides when this instance may serve.
 *
 * <p>An instance never goes back to an older revision. Four rules ensure this:
 *
 * <ol>
 *   <li>The store accepts a revision only by a compare-and-swap on its predecessor, and its number
 *       is the predecessor's plus one, so a revision number identifies exactly one content.
 *   <li>An instance holds and applies only a revision with a higher number than its own, whatever
 *       the source. Stale, duplicate and reordered messages have no effect.
 *   <li>Before an instance applies a revision it announces it to its heartbeat peers and waits
 *       until a majority of them, itself included, hold it. With up to 8 instances these peers are
 *       all known instances of the region. The wait is limited to {@link #MAX_MAJORITY_WAIT_NANOS},
 *       because a change must take effect on every instance that any path still reaches, even in a
 *       minority partition.
 *   <li>A new instance serves only after it has applied the revision in the store, or with the
 *       store down the highest revision that a majority of the known instances hold. This majority
 *       excludes instances that have not completed their own startup. It overlaps the majority of
 *       rule 3 in at least one member.
 * </ol>
 *
 * <p>Known limitation: a revision is not visible to new instances if it was applied only by
 * instances whose wait of rule 3 timed out and which all ended while the store was down. It becomes
 * visible again when the store is reachable.
 */
public final class ConfigController implements Controller {
  /** The longest time that a held revision waits for a majority before it is applied anyway. */
  public static final long MAX_MAJORITY_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final Logger LOG = Logger.getLogger(ConfigController.class);

  private static final int WATCHERS_PER_REGION = 2;
  private static final long WATCHER_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long MAJORITY_QUERY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The choice of watchers ignores older reports that a member cannot reach the store. */
  private static final long UNREACHABLE_REPORT_VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LocalInstance self;
  private final Blackboard blackboard;
  private final Consumer<ConfigSnapshot> snapshotWriter;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final StoreWatcher watcher;
  private final ReadinessGate readinessGate = new ReadinessGate();
  private final long nonce;
  private final Map<String, Long> highestRevisionByPeer = new HashMap<>();

  private MembershipView lastView;
  private Set<String> otherInstances = Set.of();
  private Set<String> heartbeatPeers = Set.of();
  private EncodedRevision held = EncodedRevision.NONE;
  private long appliedRevision;
  private boolean ready;
  private boolean watching;
  private boolean started;
  private long nowNanos;
  private long heldSinceNanos;
  private long nextAnnounceNanos;
  private long nextWatcherCheckNanos;
  private long nextMajorityQueryNanos;
  private String requestedFrom = "";
  private long requestedRevision;
  private long requestedNanos;
  private long digestMismatches;
  private long invalidRevisions;
  private long appliedWithoutMajority;

  /**
   * Creates a controller that holds no revision.
   *
   * @param reachability records the outcome of this controller's store calls
   * @param random generates the nonce of this process and the retry jitter
   */
  public ConfigController(
      LocalInstance self,
      Blackboard blackboard,
      KeyValueStore store,
      PeerSender sender,
      StoreReachability reachability,
      RandomGenerator random) {
    this.self = Checks.notNull(self, "self");
    this.blackboard = Checks.notNull(blackboard, "blackboard");
    this.snapshotWriter = blackboard.writerOf(ConfigSnapshot.ENTRY);
    this.sender = Checks.notNull(sender, "sender");
    this.random = Checks.notNull(random, "random");
    this.watcher = new StoreWatcher(store, reachability, random, this::onStored);
    this.nonce = random.nextLong();
  }

  /**
   * Returns whether this instance has applied the revision that it requires before it serves. Once
   * true, stays true. Called on the control thread.
   */
  public boolean isReady() {
    return ready;
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    this.nowNanos = nowNanos;
    ensureStarted();
    if (message instanceof Heartbeat heartbeat) {
      onAnnouncedRevision(fromInstanceId, heartbeat.revision(), heartbeat.revisionDigest());
    } else if (message instanceof MemberUpdate update) {
      onSummaries(fromInstanceId, update.regions());
    } else if (message instanceof ConfigRequest request) {
      onRequest(fromInstanceId, request);
    } else if (message instanceof ConfigReply reply) {
      onReply(fromInstanceId, reply);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    this.nowNanos = nowNanos;
    ensureStarted();
    if (nowNanos - nextWatcherCheckNanos >= 0) {
      nextWatcherCheckNanos = nowNanos + WATCHER_CHECK_INTERVAL_NANOS;
      watching = isWatcher(blackboard.read(MembershipView.ENTRY));
    }
    watcher.tick(nowNanos, watching);
    if (!ready && watcher.isFailing()) {
      queryForMajority();
    }
    retryRequest();
    applyWhenAllowed();
    if (appliedRevision < revision() && nowNanos - nextAnnounceNanos >= 0) {
      announce();
    }
    updateReady();
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("heldRevision", revision());
    dump.put("appliedRevision", appliedRevision);
    dump.put("ready", ready);
    dump.put("watching", watching);
    dump.put("storeFailing", watcher.isFailing());
    dump.put("storeCalls", watcher.callCount());
    dump.put("digestMismatches", digestMismatches);
    dump.put("invalidRevisions", invalidRevisions);
    dump.put("appliedWithoutMajority", appliedWithoutMajority);
    return dump;
  }

  private void ensureStarted() {
    if (started) {
      return;
    }
    started = true;
    watcher.start(nowNanos);
    nextWatcherCheckNanos = nowNanos;
    nextAnnounceNanos = nowNanos;
    nextMajorityQueryNanos = nowNanos;
    requestedNanos = nowNanos - REQUEST_TIMEOUT_NANOS;
  }

  private long revision() {
    return held.snapshot().revision();
  }

  // Store.

  private void onStored(Optional<VersionedValue> value) {
    if (value.isEmpty()) {
      readinessGate.recordStoredRevision(0);
      return;
    }
    Optional<EncodedRevision> decoded = decode(value.get().value(), "store");
    decoded.ifPresent(
        revision -> {
          readinessGate.recordStoredRevision(revision.snapshot().revision());
          hold(revision, "store");
        });
  }

  private boolean isWatcher(MembershipView view) {
    List<String> preferred = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (Member member : view.members().values()) {
      if (!member.region().equals(self.region()) || member.state() != MemberState.ALIVE) {
        continue;
      }
      boolean knownUnreachable =
          !member.storeReachable()
              && nowNanos - member.storeObservedNanos() <= UNREACHABLE_REPORT_VALID_NANOS;
      (knownUnreachable ? unreachable : preferred).add(member.instanceId());
    }
    List<String> order = new ArrayList<>(new HeartbeatRing(preferred).ids());
    order.addAll(new HeartbeatRing(unreachable).ids());
    return order
        .subList(0, Math.min(WATCHERS_PER_REGION, order.size()))
        .contains(self.instanceId());
  }

  // Peers.

  private void onAnnouncedRevision(String from, long revision, long digest) {
    highestRevisionByPeer.merge(from, revision, Math::max);
    if (revision > revision()) {
      request(from, revision);
    } else if (revision == revision() && digest != held.snapshot().digest() && digest != 0) {
      digestMismatches++;
      LOG.errorf(
          "config.digest.mismatch instance=%s from=%s revision=%d",
          self.instanceId(), from, revision);
    }
  }

  private void onSummaries(String from, List<RegionSummary> summaries) {
    for (RegionSummary summary : summaries) {
      if (summary.reporterId().equals(from) && summary.revision() > revision()) {
        highestRevisionByPeer.merge(from, summary.revision(), Math::max);
        request(from, summary.revision());
      }
    }
  }

  private void onRequest(String from, ConfigRequest request) {
    onAnnouncedRevision(from, request.revision(), request.digest());
    if (request.revision() <= revision()) {
      boolean withBody = request.bodyRequested() && request.revision() < revision();
      sender.send(
          from,
          new ConfigReply(
              revision(),
              held.snapshot().digest(),
              ready,
              request.nonce(),
              withBody ? held.bytes() : new byte[0]));
    }
  }

  private void onReply(String from, ConfigReply reply) {
    if (reply.nonce() == nonce && reply.ready()) {
      readinessGate.recordReply(from, reply.revision(), nowNanos);
    }
    if (reply.revision() > revision()
        && reply.body().length > 0
        && EncodedRevision.digestOf(reply.body()) == reply.digest()) {
      decode(reply.body(), from).ifPresent(revision -> hold(revision, from));
    }
    onAnnouncedRevision(from, reply.revision(), reply.digest());
    updateReady();
  }

  private void request(String from, long announcedRevision) {
    boolean waiting = nowNanos - requestedNanos < REQUEST_TIMEOUT_NANOS;
    if (waiting && announcedRevision <= requestedRevision) {
      return;
    }
    requestedFrom = from;
    requestedRevision = announcedRevision;
    requestedNanos = nowNanos;
    sender.send(from, newRequest(true));
  }

  /** Requests the revision from another instance that holds it after a request timed out. */
  private void retryRequest() {
    if (requestedRevision <= revision() || nowNanos - requestedNanos < REQUEST_TIMEOUT_NANOS) {
      return;
    }
    Set<String> running = new TreeSet<>();
    for (Member member : blackboard.read(MembershipView.ENTRY).running()) {
      running.add(member.instanceId());
    }
    List<String> holders = new ArrayList<>();
    for (String id : running) {
      if (highestRevisionByPeer.getOrDefault(id, 0L) > revision()
          && (!id.equals(requestedFrom) || running.size() == 1)) {
        holders.add(id);
      }
    }
    if (!holders.isEmpty()) {
      String holder = holders.get(random.nextInt(holders.size()));
      request(holder, highestRevisionByPeer.get(holder));
    }
  }

  private ConfigRequest newRequest(boolean bodyRequested) {
    return new ConfigRequest(revision(), held.snapshot().digest(), bodyRequested, nonce);
  }

  // Holding, announcing and applying revisions.

  private Optional<EncodedRevision> decode(byte[] bytes, String source) {
    try {
      return Optional.of(EncodedRevision.decode(bytes));
    } catch (ConfigException e) {
      invalidRevisions++;
      LOG.errorf(
          "config.revision.invalid instance=%s source=%s reason=%s",
          self.instanceId(), source, e.getMessage());
      return Optional.empty();
    }
  }

  private void hold(EncodedRevision revision, String source) {
    if (revision.snapshot().revision() <= revision()) {
      return;
    }
    LOG.infof(
        "config.held instance=%s revision=%d source=%s",
        self.instanceId(), revision.snapshot().revision(), source);
    held = revision;
    heldSinceNanos = nowNanos;
    announce();
    applyWhenAllowed();
    updateReady();
  }

  private void announce() {
    nextAnnounceNanos = nowNanos + ANNOUNCE_INTERVAL_NANOS;
    ConfigRequest message = newRequest(false);
    for (String peer : heartbeatPeers()) {
      if (highestRevisionByPeer.getOrDefault(peer, 0L) < revision()) {
        sender.send(peer, message);
      }
    }
  }

  /** Returns the peers on the heartbeat ring of all known instances, including dead ones. */
  private Set<String> heartbeatPeers() {
    refreshKnownInstances();
    return heartbeatPeers;
  }

  /** Returns the other instances of this region, except those known to have ended. */
  private Set<String> otherInstances() {
    refreshKnownInstances();
    return otherInstances;
  }

  private void refreshKnownInstances() {
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    if (isSame(view, lastView)) {
      return;
    }
    lastView = view;
    Set<String> known = new TreeSet<>();
    for (Member member : view.members().values()) {
      boolean ended =
          member.state() == MemberState.DEAD && view.absentFromList().contains(member.instanceId());
      if (!ended && member.region().equals(self.region())) {
        known.add(member.instanceId());
      }
    }
    known.add(self.instanceId());
    heartbeatPeers = new HeartbeatRing(known).peersOf(self.instanceId());
    known.remove(self.instanceId());
    otherInstances = known;
  }

  /** Compares by identity, which is enough because a view is immutable. */
  @SuppressWarnings("ReferenceEquality")
  private static boolean isSame(MembershipView view, MembershipView other) {
    return view == other;
  }

  private void applyWhenAllowed() {
    if (appliedRevision >= revision()) {
      return;
    }
    boolean majority = isHeldByMajority();
    if (!majority && nowNanos - heldSinceNanos < MAX_MAJORITY_WAIT_NANOS) {
      return;
    }
    if (!majority) {
      appliedWithoutMajority++;
      LOG.warnf(
          "config.applied.without_majority instance=%s revision=%d", self.instanceId(), revision());
    }
    appliedRevision = revision();
    snapshotWriter.accept(held.snapshot());
    highestRevisionByPeer
        .keySet()
        .retainAll(blackboard.read(MembershipView.ENTRY).members().keySet());
    LOG.infof("config.applied instance=%s revision=%d", self.instanceId(), appliedRevision);
  }

  private boolean isHeldByMajority() {
    Set<String> peers = heartbeatPeers();
    int holders = 1;
    for (String peer : peers) {
      if (highestRevisionByPeer.getOrDefault(peer, 0L) >= revision()) {
        holders++;
      }
    }
    return holders >= (peers.size() + 1) / 2 + 1;
  }

  // Startup.

  private void queryForMajority() {
    Set<String> others = otherInstances();
    readinessGate.decideByMajority(others, nowNanos);
    if (nowNanos - nextMajorityQueryNanos < 0) {
      return;
    }
    nextMajorityQueryNanos = nowNanos + MAJORITY_QUERY_INTERVAL_NANOS;
    ConfigRequest message = newRequest(false);
    for (String id : others) {
      if (!readinessGate.hasValidReply(id, nowNanos)) {
        sender.send(id, message);
      }
    }
  }

  private void updateReady() {
    if (!ready && readinessGate.isSatisfiedBy(appliedRevision)) {
      ready = true;
      LOG.infof("config.ready instance=%s revision=%d", self.instanceId(), appliedRevision);
    }
  }
}
