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
 * Keeps {@link ConfigSnapshot#ENTRY}: learns of revisions from the store or from peers, spreads
 * them, and decides when this instance may serve.
 *
 * <p>A revision never reverts. Four rules give this:
 *
 * <ol>
 *   <li>The store accepts a revision only by a compare-and-swap on its predecessor, and its number
 *       is the predecessor's plus one. Two contents therefore never have the same number.
 *   <li>An instance holds and applies only a revision with a higher number than its own, whatever
 *       the source. Old, doubled and reordered messages have no effect.
 *   <li>Before an instance applies a revision it has told its heartbeat peers, and it waits until a
 *       majority of them, itself included, hold it. With up to 8 instances these peers are all
 *       known instances of the region. It waits at most {@link #MAX_TELL_NANOS}, because a change
 *       must come into force everywhere while one path remains, even in a small part of a cut
 *       network.
 *   <li>A new instance serves only after it has applied the revision in the store, or with the
 *       store down the highest revision that a majority of the known instances hold. This majority
 *       excludes instances that have not completed their own start-up, and it shares a member with
 *       the majority of rule 3.
 * </ol>
 *
 * <p>What remains is a revision that was applied after the wait of rule 3 by instances which then
 * all ended while the store was down. It comes back with the store.
 */
public final class ConfigController implements Controller {
  /** The longest time that a held revision waits for a majority before it is applied. */
  public static final long MAX_TELL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final Logger LOG = Logger.getLogger(ConfigController.class);

  private static final int WATCHERS_PER_REGION = 2;
  private static final long ROLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** An older report that a member cannot reach the store does not keep it from watching. */
  private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final LocalInstance self;
  private final Blackboard blackboard;
  private final Consumer<ConfigSnapshot> snapshotWriter;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final StoreWatcher watcher;
  private final StartUp startUp = new StartUp();
  private final long nonce;
  private final Map<String, Long> heldBy = new HashMap<>();

  private MembershipView knownView;
  private Set<String> knownOthers = Set.of();
  private Set<String> toldPeers = Set.of();
  private EncodedRevision held = EncodedRevision.NONE;
  private long appliedRevision;
  private boolean ready;
  private boolean watching;
  private boolean started;
  private long nowNanos;
  private long heldSinceNanos;
  private long nextTellNanos;
  private long nextRoleNanos;
  private long nextAskNanos;
  private String requestedFrom = "";
  private long requestedRevision;
  private long requestedNanos;
  private long digestMismatches;
  private long invalidRevisions;
  private long appliedWithoutMajority;

  /**
   * Creates a controller that holds no revision.
   *
   * @param reachability learns the outcome of this controller's store calls
   * @param random makes the nonce of this process and jitters retries
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
   * Returns whether this instance has the newest revision that it must have before it serves. Never
   * turns false again. Called on the control thread.
   */
  public boolean isReady() {
    return ready;
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    this.nowNanos = nowNanos;
    ensureStarted();
    if (message instanceof Heartbeat heartbeat) {
      onAnnounced(fromInstanceId, heartbeat.revision(), heartbeat.revisionDigest());
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
    if (nowNanos - nextRoleNanos >= 0) {
      nextRoleNanos = nowNanos + ROLE_NANOS;
      watching = isWatcher(blackboard.read(MembershipView.ENTRY));
    }
    watcher.tick(nowNanos, watching);
    if (!ready && watcher.isFailing()) {
      askMajority();
    }
    requestAgain();
    applyWhenTold();
    if (appliedRevision < revision() && nowNanos - nextTellNanos >= 0) {
      tell();
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
    dump.put("storeCalls", watcher.calls());
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
    nextRoleNanos = nowNanos;
    nextTellNanos = nowNanos;
    nextAskNanos = nowNanos;
    requestedNanos = nowNanos - REQUEST_TIMEOUT_NANOS;
  }

  private long revision() {
    return held.snapshot().revision();
  }

  // The store.

  private void onStored(Optional<VersionedValue> value) {
    if (value.isEmpty()) {
      startUp.onStore(0);
      return;
    }
    Optional<EncodedRevision> decoded = decode(value.get().value(), "store");
    decoded.ifPresent(
        revision -> {
          startUp.onStore(revision.snapshot().revision());
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
          !member.storeReachable() && nowNanos - member.storeObservedNanos() <= UNREACHABLE_NANOS;
      (knownUnreachable ? unreachable : preferred).add(member.instanceId());
    }
    List<String> order = new ArrayList<>(new HeartbeatRing(preferred).ids());
    order.addAll(new HeartbeatRing(unreachable).ids());
    return order
        .subList(0, Math.min(WATCHERS_PER_REGION, order.size()))
        .contains(self.instanceId());
  }

  // Peers.

  private void onAnnounced(String from, long revision, long digest) {
    heldBy.merge(from, revision, Math::max);
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
        heldBy.merge(from, summary.revision(), Math::max);
        request(from, summary.revision());
      }
    }
  }

  private void onRequest(String from, ConfigRequest request) {
    onAnnounced(from, request.revision(), request.digest());
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
      startUp.onReply(from, reply.revision(), nowNanos);
    }
    if (reply.revision() > revision()
        && reply.body().length > 0
        && EncodedRevision.digestOf(reply.body()) == reply.digest()) {
      decode(reply.body(), from).ifPresent(revision -> hold(revision, from));
    }
    onAnnounced(from, reply.revision(), reply.digest());
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
    sender.send(from, message(true));
  }

  /** Asks another holder when a request was not answered in time. */
  private void requestAgain() {
    if (requestedRevision <= revision() || nowNanos - requestedNanos < REQUEST_TIMEOUT_NANOS) {
      return;
    }
    Set<String> running = new TreeSet<>();
    for (Member member : blackboard.read(MembershipView.ENTRY).running()) {
      running.add(member.instanceId());
    }
    List<String> holders = new ArrayList<>();
    for (String id : running) {
      if (heldBy.getOrDefault(id, 0L) > revision()
          && (!id.equals(requestedFrom) || running.size() == 1)) {
        holders.add(id);
      }
    }
    if (!holders.isEmpty()) {
      String holder = holders.get(random.nextInt(holders.size()));
      request(holder, heldBy.get(holder));
    }
  }

  private ConfigRequest message(boolean bodyRequested) {
    return new ConfigRequest(revision(), held.snapshot().digest(), bodyRequested, nonce);
  }

  // Holding, telling, applying.

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
    tell();
    applyWhenTold();
    updateReady();
  }

  private void tell() {
    nextTellNanos = nowNanos + TELL_NANOS;
    ConfigRequest message = message(false);
    for (String peer : toldPeers()) {
      if (heldBy.getOrDefault(peer, 0L) < revision()) {
        sender.send(peer, message);
      }
    }
  }

  /** Returns the heartbeat peers on the ring of the known instances, the dead ones included. */
  private Set<String> toldPeers() {
    refreshKnown();
    return toldPeers;
  }

  /** Returns the instances of this region that have not certainly ended, without this one. */
  private Set<String> knownOthers() {
    refreshKnown();
    return knownOthers;
  }

  private void refreshKnown() {
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    if (isSame(view, knownView)) {
      return;
    }
    knownView = view;
    Set<String> known = new TreeSet<>();
    for (Member member : view.members().values()) {
      boolean ended =
          member.state() == MemberState.DEAD && view.absentFromList().contains(member.instanceId());
      if (!ended && member.region().equals(self.region())) {
        known.add(member.instanceId());
      }
    }
    known.add(self.instanceId());
    toldPeers = new HeartbeatRing(known).peersOf(self.instanceId());
    known.remove(self.instanceId());
    knownOthers = known;
  }

  /** A view is never changed, so the same object needs no second look at its members. */
  @SuppressWarnings("ReferenceEquality")
  private static boolean isSame(MembershipView view, MembershipView other) {
    return view == other;
  }

  private void applyWhenTold() {
    if (appliedRevision >= revision()) {
      return;
    }
    boolean told = heldByMajority();
    if (!told && nowNanos - heldSinceNanos < MAX_TELL_NANOS) {
      return;
    }
    if (!told) {
      appliedWithoutMajority++;
      LOG.warnf(
          "config.applied.without_majority instance=%s revision=%d", self.instanceId(), revision());
    }
    appliedRevision = revision();
    snapshotWriter.accept(held.snapshot());
    heldBy.keySet().retainAll(blackboard.read(MembershipView.ENTRY).members().keySet());
    LOG.infof("config.applied instance=%s revision=%d", self.instanceId(), appliedRevision);
  }

  private boolean heldByMajority() {
    Set<String> peers = toldPeers();
    int holders = 1;
    for (String peer : peers) {
      if (heldBy.getOrDefault(peer, 0L) >= revision()) {
        holders++;
      }
    }
    return holders >= (peers.size() + 1) / 2 + 1;
  }

  // Start-up.

  private void askMajority() {
    Set<String> others = knownOthers();
    startUp.decideByMajority(others, nowNanos);
    if (nowNanos - nextAskNanos < 0) {
      return;
    }
    nextAskNanos = nowNanos + ASK_NANOS;
    ConfigRequest message = message(false);
    for (String id : others) {
      if (!startUp.hasReply(id, nowNanos)) {
        sender.send(id, message);
      }
    }
  }

  private void updateReady() {
    if (!ready && startUp.isSatisfiedBy(appliedRevision)) {
      ready = true;
      LOG.infof("config.ready instance=%s revision=%d", self.instanceId(), appliedRevision);
    }
  }
}
