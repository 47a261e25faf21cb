package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.MemberTable.MergeResult;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.MemberEntry;
import org.buckthornferry.peer.MemberUpdate;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.RegionSummary;
import org.buckthornferry.peer.StoreObservation;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.Completions;
import org.jboss.logging.Logger;

/**
 * Maintains {@link MembershipView#ENTRY} by gossip and heartbeats. It reads members from the
 * instance list, sends heartbeats to its peers on the ring of its region, marks silent peers as
 * suspect and then dead, and gossips changes.
 *
 * <p>Heartbeats stay inside a region. Two representatives of each region exchange a summary and a
 * few members with the other regions every second. When the summaries of a region stop, its members
 * are shown as suspect but are not declared dead for that reason, because a partitioned region
 * continues to run.
 */
public final class MembershipController implements Controller {
  private static final Logger LOG = Logger.getLogger(MembershipController.class);

  private static final long TIMEOUT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** While the store is unreachable, shard owners need observations less than a second old. */
  private static final long STORE_DOWN_VIEW_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Building a view of 1,700 members takes 0.3 ms, so an unchanged view is refreshed rarely. */
  private static final long VIEW_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long LIST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long REGION_REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long DEAD_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Lets changes arrive by gossip before a digest mismatch starts a repair. */
  private static final long REPAIR_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** An observation of the key-value service is valid for one second (section 4.3). */
  private static final long STORE_OBSERVATION_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Limits observations to 5 KB/s during an outage, at 4 heartbeats a second to 19 peers. */
  private static final int MAX_STORE_OBSERVATIONS_PER_HEARTBEAT = 8;

  /** Covers the time in which an instance list or a peer may still name a dead member as alive. */
  private static final long DEAD_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  private static final long ABSENT_RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final int MAX_ABSENT_MEMBERS = 4_096;

  /** Tolerates faults of the instance list before a missing remote member is declared dead. */
  private static final long REMOTE_ABSENT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * A running member of this region is seen by heartbeat, gossip or digest repair within this time.
   * A member known only from the instance list ended before this process started.
   */
  private static final long LISTED_ONLY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

  private static final int REPRESENTATIVES_PER_REGION = 2;
  private static final int REMOTE_REFRESH_ENTRIES = 4;

  private final LocalInstance self;
  private final MembershipTimings timings;
  private final Blackboard blackboard;
  private final Consumer<MembershipView> viewWriter;
  private final InstanceList instanceList;
  private final PeerSender sender;
  private final StoreReachability store;
  private final RandomGenerator random;
  private final MemberTable table;
  private final RegionTable regions = new RegionTable();
  private final GossipQueue gossip = new GossipQueue();
  private final GossipQueue remoteGossip = new GossipQueue();
  private final GossipQueue regionGossip = new GossipQueue();
  private final Map<String, Long> absentSince = new TreeMap<>();
  private final Map<Integer, MemberRow> localMembersByHash = new HashMap<>();
  private final long suspectNanos;
  private final long deadNanos;
  private final long heartbeatNanos;

  private MemberRow ownRow;
  private Set<String> peers = Set.of();
  private int regionSize = 1;
  private int regionDigest;
  private Set<String> unreachableRegions = Set.of();
  private String remoteCursor = "";
  private boolean started;
  private boolean ringDirty = true;
  private boolean viewDirty = true;
  private boolean listPending;
  private long listRequestedNanos;
  private long listPolls;
  private long lastTickNanos;
  private long nowNanos;
  private long nextListPollNanos;
  private long nextHeartbeatNanos;
  private long nextTimeoutCheckNanos;
  private long nextRegionReportNanos;
  private long nextProbeNanos;
  private long nextViewNanos;
  private long sequence;
  private long refuted;
  private long suspected;
  private long declaredDead;
  private long repairs;

  /**
   * Creates a controller whose only known member is its own instance.
   *
   * @param store the reachability of the key-value service from this instance
   * @param random sets the phase of periodic messages and chooses targets
   */
  public MembershipController(
      LocalInstance self,
      MembershipTimings timings,
      Blackboard blackboard,
      InstanceList instanceList,
      PeerSender sender,
      StoreReachability store,
      RandomGenerator random) {
    this.self = Checks.notNull(self, "self");
    this.timings = Checks.notNull(timings, "timings");
    this.blackboard = Checks.notNull(blackboard, "blackboard");
    this.viewWriter = blackboard.writerOf(MembershipView.ENTRY);
    this.instanceList = Checks.notNull(instanceList, "instanceList");
    this.sender = Checks.notNull(sender, "sender");
    this.store = Checks.notNull(store, "store");
    this.random = Checks.notNull(random, "random");
    this.suspectNanos = TimeUnit.MILLISECONDS.toNanos(timings.suspectMillis());
    this.deadNanos = TimeUnit.MILLISECONDS.toNanos(timings.deadMillis());
    this.heartbeatNanos = TimeUnit.MILLISECONDS.toNanos(timings.heartbeatMillis());
    this.table = new MemberTable(suspectNanos);
  }

  /**
   * Announces to the peers that this instance is shutting down. From then on it receives no new
   * work or ownership; the announcement is irrevocable. Called on the control thread.
   */
  public void announceLeaving() {
    ensureStarted(nowNanos);
    if (ownRow.state == MemberState.LEAVING) {
      return;
    }
    LOG.infof("membership.leaving instance=%s", self.instanceId());
    ownRow.setState(MemberState.LEAVING, nowNanos);
    markChanged(ownRow);
    refreshRing();
    for (String peer : peers) {
      sendUpdate(peer);
    }
    publishView();
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    ensureStarted(nowNanos);
    this.nowNanos = nowNanos;
    if (fromInstanceId.equals(self.instanceId())) {
      return;
    }
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(fromInstanceId, heartbeat);
    } else if (message instanceof MemberUpdate update) {
      onUpdate(fromInstanceId, update);
    }
  }

  @Override
  public void onTick(long nowNanos) {
    ensureStarted(nowNanos);
    this.nowNanos = nowNanos;
    adjustForPause();
    lastTickNanos = nowNanos;
    if (nowNanos - nextListPollNanos >= 0) {
      pollInstanceList();
    }
    refreshRing();
    if (nowNanos - nextTimeoutCheckNanos >= 0) {
      nextTimeoutCheckNanos = nowNanos + TIMEOUT_CHECK_INTERVAL_NANOS;
      checkTimeouts();
      refreshRing();
    }
    if (nowNanos - nextHeartbeatNanos >= 0) {
      nextHeartbeatNanos = nowNanos + heartbeatNanos;
      sendHeartbeats();
    }
    if (nowNanos - nextRegionReportNanos >= 0) {
      nextRegionReportNanos = nowNanos + REGION_REPORT_INTERVAL_NANOS;
      reportRegion();
    }
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + DEAD_PROBE_INTERVAL_NANOS;
      probeDeadMember();
    }
    if (viewDirty || nowNanos - nextViewNanos >= 0) {
      publishView();
    }
  }

  /** Publishes a change at once, and refreshes the view often while the store is unreachable. */
  private void onStoreObservation(boolean before, boolean reachable) {
    viewDirty |= before != reachable;
    if (!reachable && nextViewNanos - nowNanos > STORE_DOWN_VIEW_INTERVAL_NANOS) {
      nextViewNanos = nowNanos + STORE_DOWN_VIEW_INTERVAL_NANOS;
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("members", table.rows().size());
    dump.put("heartbeatPeers", List.copyOf(peers));
    dump.put("regions", regions.regions());
    dump.put("cutRegions", List.copyOf(unreachableRegions));
    dump.put("gossipWaiting", gossip.size());
    dump.put("suspected", suspected);
    dump.put("declaredDead", declaredDead);
    dump.put("refuted", refuted);
    dump.put("digestRepairs", repairs);
    return dump;
  }

  private void ensureStarted(long startNanos) {
    if (started) {
      return;
    }
    started = true;
    nowNanos = startNanos;
    lastTickNanos = startNanos;
    ownRow =
        table.add(
            self.instanceId(), self.peerAddress(), self.failureDomain(), self.region(), startNanos);
    ownRow.incarnation = self.incarnation();
    ownRow.listed = true;
    nextListPollNanos = startNanos;
    nextTimeoutCheckNanos = startNanos;
    nextProbeNanos = startNanos + DEAD_PROBE_INTERVAL_NANOS;
    nextViewNanos = startNanos;
    nextHeartbeatNanos = startNanos + random.nextLong(heartbeatNanos);
    nextRegionReportNanos = startNanos + random.nextLong(REGION_REPORT_INTERVAL_NANOS);
    markChanged(ownRow);
  }

  /** Excludes a pause of this process from silence, because messages queue up during the pause. */
  private void adjustForPause() {
    long pauseNanos = nowNanos - lastTickNanos;
    if (pauseNanos <= heartbeatNanos) {
      return;
    }
    LOG.warnf("membership.paused instance=%s nanos=%d", self.instanceId(), pauseNanos);
    for (MemberRow row : table.rows().values()) {
      row.excludePause(pauseNanos);
    }
    regions.excludePause(pauseNanos);
  }

  // Instance list.

  private void pollInstanceList() {
    if (listPending && nowNanos - listRequestedNanos < LIST_TIMEOUT_NANOS) {
      return;
    }
    nextListPollNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(timings.listPollMillis());
    listPending = true;
    listRequestedNanos = nowNanos;
    long poll = ++listPolls;
    Completions.onComplete(
        instanceList.list(),
        (listed, failure) -> {
          if (poll != listPolls) {
            return;
          }
          listPending = false;
          if (failure == null) {
            applyInstanceList(listed);
          } else {
            LOG.debugf("membership.list.failed reason=%s", failure.getMessage());
          }
        });
  }

  private void applyInstanceList(List<ListedInstance> listed) {
    Set<String> ids = new HashSet<>();
    for (ListedInstance instance : listed) {
      ids.add(instance.instanceId());
      if (!instance.instanceId().equals(self.instanceId())) {
        applyListedInstance(instance);
      }
    }
    for (MemberRow row : table.rows().values()) {
      if (row.listed && row != ownRow && !ids.contains(row.instanceId)) {
        row.listed = false;
        row.unlistedSinceNanos = nowNanos;
        if (absentSince.size() < MAX_ABSENT_MEMBERS) {
          absentSince.put(row.instanceId, nowNanos);
        }
        viewDirty = true;
      }
    }
    if (absentSince.keySet().removeAll(ids)) {
      viewDirty = true;
    }
  }

  private void applyListedInstance(ListedInstance instance) {
    MemberRow row = table.get(instance.instanceId());
    if (row == null) {
      row =
          table.add(
              instance.instanceId(),
              instance.peerAddress(),
              instance.failureDomain(),
              instance.region(),
              nowNanos);
      if (row == null) {
        return;
      }
      ringDirty = true;
      viewDirty = true;
    }
    row.listed = true;
    if (row.incarnation == 0 && row.state != MemberState.DEAD) {
      row.setLocation(instance.peerAddress(), instance.failureDomain(), instance.region());
      if (instance.leaving()) {
        row.setState(MemberState.LEAVING, nowNanos);
        viewDirty = true;
      }
    }
  }

  // Reports of other instances.

  private void onHeartbeat(String from, Heartbeat heartbeat) {
    for (MemberEntry entry : heartbeat.entries()) {
      mergeEntry(entry);
    }
    acceptRegions(heartbeat.regions());
    for (StoreObservation observation : heartbeat.storeObservations()) {
      MemberRow row = localMembersByHash.get(observation.memberHash());
      if (row != null && row != ownRow) {
        boolean before = row.storeReachable;
        row.observeStore(observation.reachable(), observation.ageMillis(), nowNanos);
        onStoreObservation(before, row.storeReachable);
      }
    }
    MemberRow row = table.get(from);
    if (row == null) {
      return;
    }
    MemberState before = row.state;
    final boolean reachableBefore = row.storeReachable;
    if (table.mergeHeartbeat(row, heartbeat, nowNanos)) {
      markChanged(row);
      logChange(row, before);
    }
    onStoreObservation(reachableBefore, row.storeReachable);
    if (row.state == MemberState.DEAD) {
      notifyMember(row);
    }
    trackDigest(row, heartbeat.memberDigest());
  }

  private void onUpdate(String from, MemberUpdate update) {
    boolean suspectsSelf = false;
    for (MemberEntry entry : update.entries()) {
      suspectsSelf |=
          entry.instanceId().equals(self.instanceId())
              && entry.state() != MemberState.ALIVE
              && entry.state() != MemberState.LEAVING;
      mergeEntry(entry);
    }
    acceptRegions(update.regions());
    if (suspectsSelf) {
      sendUpdate(from);
    }
  }

  private void mergeEntry(MemberEntry entry) {
    if (entry.instanceId().equals(self.instanceId())) {
      refute(entry);
      return;
    }
    MemberRow before = table.get(entry.instanceId());
    MemberState stateBefore = before == null ? null : before.state;
    boolean firstReport = before != null && before.incarnation == 0;
    MergeResult result = table.merge(entry, nowNanos);
    if (result == MergeResult.UNCHANGED) {
      return;
    }
    MemberRow row = table.get(entry.instanceId());
    if (result == MergeResult.CONTRADICTED) {
      sendEntry(row, entry);
      return;
    }
    if (firstReport && row.state == stateBefore && !row.region.equals(self.region())) {
      // The member is already known from the instance list. Gossiping the first report of every
      // remote member would cost 27 entries each when a fleet starts.
      viewDirty = true;
      return;
    }
    markChanged(row);
    logChange(row, stateBefore);
  }

  private void refute(MemberEntry entry) {
    boolean unresponsive =
        entry.state() == MemberState.SUSPECT || entry.state() == MemberState.DEAD;
    if (!unresponsive
        || entry.incarnation() > self.incarnation()
        || (entry.incarnation() == self.incarnation()
            && entry.refutations() < ownRow.refutations)) {
      return;
    }
    if (entry.incarnation() == self.incarnation()) {
      ownRow.refutations = entry.refutations() + 1;
    }
    refuted++;
    LOG.infof(
        "membership.refuted instance=%s refutations=%d", self.instanceId(), ownRow.refutations);
    markChanged(ownRow);
  }

  private void acceptRegions(List<RegionSummary> summaries) {
    for (RegionSummary summary : summaries) {
      if (!summary.region().equals(self.region()) && regions.accept(summary, nowNanos)) {
        regionGossip.add(summary.region(), gossipRepeats());
      }
    }
  }

  private void trackDigest(MemberRow row, int digest) {
    boolean differs = digest != regionDigest;
    if (differs && !row.digestDiffers) {
      row.digestDiffersSinceNanos = nowNanos;
    }
    row.digestDiffers = differs;
  }

  /** Sends a member its state in this view, so that it can refute a suspicion. */
  private void notifyMember(MemberRow row) {
    sendEntry(row, row.toEntry(nowNanos));
  }

  private void sendEntry(MemberRow row, MemberEntry entry) {
    if (nowNanos - row.lastNotifiedNanos < heartbeatNanos) {
      return;
    }
    row.lastNotifiedNanos = nowNanos;
    refreshOwnStoreObservation();
    sender.send(
        row.instanceId, new MemberUpdate(List.of(ownRow.toEntry(nowNanos), entry), List.of()));
  }

  private void sendUpdate(String toInstanceId) {
    refreshOwnStoreObservation();
    List<MemberEntry> entries = new ArrayList<>();
    entries.add(ownRow.toEntry(nowNanos));
    MemberRow row = table.get(toInstanceId);
    if (row != null && (row.state == MemberState.SUSPECT || row.state == MemberState.DEAD)) {
      entries.add(row.toEntry(nowNanos));
    }
    sender.send(toInstanceId, new MemberUpdate(entries, List.of()));
  }

  // Failure detection.

  private void checkTimeouts() {
    List<String> expired = new ArrayList<>();
    for (MemberRow row : table.rows().values()) {
      if (row == ownRow) {
        continue;
      }
      MemberState before = row.state;
      if (row.region.equals(self.region())) {
        checkLocalMember(row);
      } else {
        checkRemoteMember(row);
      }
      if (row.state != before) {
        markChanged(row);
        logChange(row, before);
      }
      if (row.state == MemberState.DEAD
          && !row.listed
          && nowNanos - row.stateSinceNanos > DEAD_RETENTION_NANOS) {
        expired.add(row.instanceId);
      }
    }
    expired.forEach(table::remove);
    absentSince
        .entrySet()
        .removeIf(
            entry ->
                nowNanos - entry.getValue() > ABSENT_RETENTION_NANOS
                    && table.get(entry.getKey()) == null);
    checkRegions();
  }

  private void checkLocalMember(MemberRow row) {
    if (row.state == MemberState.DEAD) {
      return;
    }
    if (row.incarnation == 0 && nowNanos - row.listedOnlySinceNanos >= LISTED_ONLY_TIMEOUT_NANOS) {
      row.setState(MemberState.DEAD, nowNanos);
      return;
    }
    boolean expected = peers.contains(row.instanceId);
    long silentNanos = row.silentNanos(nowNanos);
    if (expected && silentNanos >= deadNanos) {
      row.setState(MemberState.DEAD, nowNanos);
      declaredDead++;
    } else if (expected && silentNanos >= suspectNanos && row.state == MemberState.ALIVE) {
      row.setState(MemberState.SUSPECT, nowNanos);
      suspected++;
      notifyMember(row);
    } else if (row.state == MemberState.SUSPECT
        && silentNanos >= suspectNanos
        && nowNanos - row.stateSinceNanos >= deadNanos - suspectNanos) {
      row.setState(MemberState.DEAD, nowNanos);
      declaredDead++;
    }
  }

  private void checkRemoteMember(MemberRow row) {
    boolean silent = unreachableRegions.contains(row.region) || row.incarnation == 0;
    if (row.state != MemberState.DEAD
        && !row.listed
        && silent
        && nowNanos - row.unlistedSinceNanos > REMOTE_ABSENT_TIMEOUT_NANOS) {
      row.setState(MemberState.DEAD, nowNanos);
    }
  }

  private void checkRegions() {
    Set<String> unreachable = Set.copyOf(regions.silentRegions(nowNanos));
    if (!unreachable.equals(unreachableRegions)) {
      LOG.warnf("membership.regions.cut before=%s now=%s", unreachableRegions, unreachable);
      unreachableRegions = unreachable;
      viewDirty = true;
    }
  }

  /** Contacts a dead member, so that two parts of a region rejoin after a partition. */
  private void probeDeadMember() {
    List<String> dead = new ArrayList<>();
    for (MemberRow row : table.rows().values()) {
      if (row.state == MemberState.DEAD && row.listed && row.region.equals(self.region())) {
        dead.add(row.instanceId);
      }
    }
    if (!dead.isEmpty()) {
      sendUpdate(dead.get(random.nextInt(dead.size())));
    }
  }

  // Heartbeats.

  private void sendHeartbeats() {
    final boolean reachableBefore = ownRow.storeReachable;
    refreshOwnStoreObservation();
    onStoreObservation(reachableBefore, ownRow.storeReachable);
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    List<StoreObservation> observations = storeObservations();
    int observationOffset = observations.isEmpty() ? 0 : random.nextInt(observations.size());
    sequence++;
    for (String peer : peers) {
      List<StoreObservation> window = window(observations, observationOffset);
      observationOffset += window.size();
      sender.send(peer, heartbeat(table.get(peer), config, window));
    }
  }

  private Heartbeat heartbeat(
      MemberRow peer, ConfigSnapshot config, List<StoreObservation> observations) {
    return new Heartbeat(
        self.incarnation(),
        ownRow.refutations,
        sequence,
        ownRow.state == MemberState.LEAVING,
        ownRow.storeReachable,
        ownRow.storeAgeMillis(nowNanos),
        config.revision(),
        config.digest(),
        regionDigest,
        heartbeatEntries(peer),
        regionSummaries(),
        observations);
  }

  private List<MemberEntry> heartbeatEntries(MemberRow peer) {
    List<MemberEntry> entries = new ArrayList<>();
    for (String id : gossip.take(Heartbeat.MAX_ENTRIES)) {
      MemberRow row = table.get(id);
      if (row != null && (row.incarnation > 0 || row.state == MemberState.DEAD)) {
        entries.add(row.toEntry(nowNanos));
      }
    }
    if (peer.digestDiffers && nowNanos - peer.digestDiffersSinceNanos > REPAIR_DELAY_NANOS) {
      addRepairs(peer, entries);
    }
    return entries;
  }

  /** Fills the free entries with the next members in id order, to repair lost gossip. */
  private void addRepairs(MemberRow peer, List<MemberEntry> entries) {
    repairs++;
    int freeEntries = Math.min(Heartbeat.MAX_ENTRIES - entries.size(), table.rows().size());
    for (int i = 0; i < freeEntries; i++) {
      Map.Entry<String, MemberRow> next = table.rows().higherEntry(peer.repairCursor);
      if (next == null) {
        next = table.rows().firstEntry();
      }
      peer.repairCursor = next.getKey();
      MemberRow row = next.getValue();
      if (row.region.equals(self.region()) && row.incarnation > 0) {
        entries.add(row.toEntry(nowNanos));
      }
    }
  }

  private List<RegionSummary> regionSummaries() {
    List<RegionSummary> summaries = new ArrayList<>();
    for (String region : regionGossip.take(Heartbeat.MAX_ENTRIES)) {
      RegionSummary summary = regions.lastSummary(region);
      if (summary != null) {
        summaries.add(summary);
      }
    }
    return summaries;
  }

  /**
   * Returns the fresh observations of the key-value service in this region while any of them
   * reports it unreachable. Returns none when every member is a heartbeat peer or the service is
   * reachable.
   */
  private List<StoreObservation> storeObservations() {
    if (peers.size() >= regionSize - 1) {
      return List.of();
    }
    List<StoreObservation> observations = new ArrayList<>();
    boolean unreachable = false;
    for (MemberRow row : localMembersByHash.values()) {
      if (nowNanos - row.storeObservedNanos <= STORE_OBSERVATION_VALID_NANOS) {
        observations.add(
            new StoreObservation(row.hash, row.storeReachable, row.storeAgeMillis(nowNanos)));
        unreachable |= !row.storeReachable;
      }
    }
    return unreachable ? observations : List.of();
  }

  private static List<StoreObservation> window(List<StoreObservation> observations, int offset) {
    List<StoreObservation> window = new ArrayList<>();
    int size = Math.min(MAX_STORE_OBSERVATIONS_PER_HEARTBEAT, observations.size());
    for (int i = 0; i < size; i++) {
      window.add(observations.get((offset + i) % observations.size()));
    }
    return window;
  }

  private void refreshOwnStoreObservation() {
    ownRow.storeReachable = store.isReachable();
    ownRow.storeObservedNanos = store.observedNanos();
  }

  // Other regions.

  private void reportRegion() {
    if (regions.regions().isEmpty()
        || !representatives(self.region()).contains(ownRow.instanceId)) {
      return;
    }
    List<MemberEntry> entries = remoteEntries();
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    RegionSummary summary =
        new RegionSummary(
            self.region(),
            self.instanceId(),
            self.incarnation(),
            ++sequence,
            regionSize,
            config.revision());
    for (String region : regions.regions()) {
      String target = remoteTarget(region);
      if (target != null) {
        sender.send(target, new MemberUpdate(entries, List.of(summary)));
      }
    }
  }

  /** Returns changed members of this region and some unchanged ones to repair lost updates. */
  private List<MemberEntry> remoteEntries() {
    refreshOwnStoreObservation();
    List<MemberEntry> entries = new ArrayList<>();
    entries.add(ownRow.toEntry(nowNanos));
    int changes = MemberUpdate.MAX_ENTRIES - 1 - REMOTE_REFRESH_ENTRIES;
    for (String id : remoteGossip.take(changes)) {
      MemberRow row = table.get(id);
      if (row != null && row != ownRow && isSharedWithOtherRegions(row)) {
        entries.add(row.toEntry(nowNanos));
      }
    }
    int refreshEntries = Math.min(REMOTE_REFRESH_ENTRIES, table.rows().size());
    for (int i = 0; i < refreshEntries; i++) {
      Map.Entry<String, MemberRow> next = nextLocal();
      remoteCursor = next.getKey();
      if (next.getValue() != ownRow && isSharedWithOtherRegions(next.getValue())) {
        entries.add(next.getValue().toEntry(nowNanos));
      }
    }
    return entries;
  }

  private Map.Entry<String, MemberRow> nextLocal() {
    Map.Entry<String, MemberRow> next = table.rows().higherEntry(remoteCursor);
    while (next != null && !next.getValue().region.equals(self.region())) {
      next = table.rows().higherEntry(next.getKey());
    }
    return next == null ? table.rows().firstEntry() : next;
  }

  /** Returns whether a member's state is sent to other regions; suspicions are not. */
  private boolean isSharedWithOtherRegions(MemberRow row) {
    return row.region.equals(self.region())
        && row.incarnation > 0
        && row.state != MemberState.SUSPECT;
  }

  private String remoteTarget(String region) {
    if (!unreachableRegions.contains(region)) {
      List<String> representatives = representatives(region);
      return representatives.isEmpty()
          ? null
          : representatives.get(random.nextInt(representatives.size()));
    }
    List<MemberRow> members = table.inRegion(region);
    members.removeIf(row -> !row.listed && row.state == MemberState.DEAD);
    return members.isEmpty() ? null : members.get(random.nextInt(members.size())).instanceId;
  }

  private List<String> representatives(String region) {
    List<String> alive = new ArrayList<>();
    for (MemberRow row : table.inRegion(region)) {
      if (row.state == MemberState.ALIVE) {
        alive.add(row.instanceId);
      }
    }
    List<String> ordered = new HeartbeatRing(alive).ids();
    return ordered.subList(0, Math.min(REPRESENTATIVES_PER_REGION, ordered.size()));
  }

  // Gossip, ring and view.

  private void markChanged(MemberRow row) {
    gossip.add(row.instanceId, gossipRepeats());
    if (row.region.equals(self.region())) {
      remoteGossip.add(row.instanceId, Math.max(2, 2 * regions.regions().size()));
    }
    ringDirty = true;
    viewDirty = true;
  }

  private int gossipRepeats() {
    return Math.max(3, 3 * HeartbeatRing.ceilLog2(regionSize));
  }

  private void refreshRing() {
    if (!ringDirty) {
      return;
    }
    ringDirty = false;
    List<String> running = new ArrayList<>();
    localMembersByHash.clear();
    int digest = 0;
    for (MemberRow row : table.rows().values()) {
      if (!row.region.equals(self.region())) {
        regions.expect(row.region, nowNanos);
        continue;
      }
      digest ^= row.digest();
      localMembersByHash.merge(row.hash, row, (a, b) -> a);
      if (row.state.isRunning()) {
        running.add(row.instanceId);
      }
    }
    regionDigest = digest;
    regionSize = running.size();
    Set<String> before = peers;
    peers = new HeartbeatRing(running).peersOf(self.instanceId());
    boolean added = false;
    for (String peer : peers) {
      if (!before.contains(peer)) {
        table.get(peer).expectedSinceNanos = nowNanos;
        added = true;
      }
    }
    if (added) {
      // A new peer needs this instance's address before it can send heartbeats back.
      gossip.add(self.instanceId(), Math.max(peers.size(), gossipRepeats()));
    }
  }

  private void publishView() {
    refreshOwnStoreObservation();
    viewDirty = false;
    nextViewNanos = nowNanos + VIEW_INTERVAL_NANOS;
    Map<String, Member> members = new TreeMap<>();
    Set<String> ended = new TreeSet<>(absentSince.keySet());
    for (MemberRow row : table.rows().values()) {
      if (row.hasLeft()) {
        ended.add(row.instanceId);
      }
      Member member = row.toMember();
      boolean unreachable =
          row.state == MemberState.ALIVE && unreachableRegions.contains(row.region);
      members.put(row.instanceId, unreachable ? member.withState(MemberState.SUSPECT) : member);
    }
    viewWriter.accept(new MembershipView(self.instanceId(), members, ended));
  }

  private void logChange(MemberRow row, MemberState before) {
    if (row.state != before) {
      LOG.infof(
          "membership.state instance=%s member=%s before=%s now=%s incarnation=%d refutations=%d",
          self.instanceId(), row.instanceId, before, row.state, row.incarnation, row.refutations);
    }
  }
}
