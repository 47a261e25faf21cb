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
import org.buckthornferry.membership.MemberTable.Outcome;
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
 * Keeps {@link MembershipView#ENTRY}: seeds members from the instance list, sends heartbeats to the
 * peers on the ring of its region, suspects and declares the silent ones, and gossips changes.
 *
 * <p>Heartbeats stay inside a region. Two representatives of each region exchange a summary and a
 * few members with the other regions every second. The members of a region whose summaries stop are
 * shown as suspect and never declared dead for that reason, because a cut region continues alone.
 */
public final class MembershipController implements Controller {
  private static final Logger LOG = Logger.getLogger(MembershipController.class);

  private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** While the store is unreachable, owners need observations that are younger than a second. */
  private static final long URGENT_VIEW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A view of 1,700 members takes 0.3 ms, so unchanged ones are refreshed rarely. */
  private static final long VIEW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long LIST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long REGION_REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long DEAD_PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Lets changes arrive by gossip before a differing digest counts as a loss. */
  private static final long REPAIR_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** An observation of the key-value service counts for one second (section 4.3). */
  private static final long STORE_FLAG_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Keeps 4 heartbeats a second to 19 peers below 5 KB/s of observations during an outage. */
  private static final int STORE_FLAGS_PER_HEARTBEAT = 8;

  /** Keeps a dead member long enough that no instance list or peer still names it as alive. */
  private static final long FORGET_DEAD_NANOS = TimeUnit.MINUTES.toNanos(10);

  private static final long FORGET_ABSENT_NANOS = TimeUnit.HOURS.toNanos(1);
  private static final int MAX_ABSENT = 4_096;

  /** Covers faults of the instance list before its statement alone ends a remote member. */
  private static final long REMOTE_ABSENT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * A running member of this region is reported by its own heartbeats, by gossip or by a repair in
   * this time. One that only the instance list names has ended before this process started.
   */
  private static final long LISTED_ONLY_NANOS = TimeUnit.SECONDS.toNanos(15);

  private static final int REPRESENTATIVES = 2;
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
  private final Map<Integer, MemberRow> byHash = new HashMap<>();
  private final long suspectNanos;
  private final long deadNanos;
  private final long heartbeatNanos;

  private MemberRow own;
  private Set<String> peers = Set.of();
  private int regionSize = 1;
  private int regionDigest;
  private Set<String> cutRegions = Set.of();
  private String remoteCursor = "";
  private boolean started;
  private boolean ringDirty = true;
  private boolean viewDirty = true;
  private boolean listPending;
  private long listSentNanos;
  private long polls;
  private long lastTickNanos;
  private long nowNanos;
  private long nextListNanos;
  private long nextHeartbeatNanos;
  private long nextCheckNanos;
  private long nextRegionNanos;
  private long nextProbeNanos;
  private long nextViewNanos;
  private long sequence;
  private long refuted;
  private long suspected;
  private long declaredDead;
  private long repairs;

  /**
   * Creates a controller that knows only its own instance.
   *
   * @param store the outcomes of this instance's calls to the key-value service
   * @param random decides the phase of the heartbeats and which dead member is probed
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
   * Tells the peers that this instance is shutting down. It takes no new work or ownership from
   * then on; the announcement cannot be taken back. Called on the control thread.
   */
  public void announceLeaving() {
    ensureStarted(nowNanos);
    if (own.state == MemberState.LEAVING) {
      return;
    }
    LOG.infof("membership.leaving instance=%s", self.instanceId());
    own.moveTo(MemberState.LEAVING, nowNanos);
    changed(own);
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
    allowForPause();
    lastTickNanos = nowNanos;
    if (nowNanos - nextListNanos >= 0) {
      pollList();
    }
    refreshRing();
    if (nowNanos - nextCheckNanos >= 0) {
      nextCheckNanos = nowNanos + CHECK_NANOS;
      checkSilence();
      refreshRing();
    }
    if (nowNanos - nextHeartbeatNanos >= 0) {
      nextHeartbeatNanos = nowNanos + heartbeatNanos;
      sendHeartbeats();
    }
    if (nowNanos - nextRegionNanos >= 0) {
      nextRegionNanos = nowNanos + REGION_REPORT_NANOS;
      reportRegion();
    }
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + DEAD_PROBE_NANOS;
      probeDead();
    }
    if (viewDirty || nowNanos - nextViewNanos >= 0) {
      publishView();
    }
  }

  /** Shows a change at once, and refreshes the ages often while the store is unreachable. */
  private void noteStoreFlag(boolean before, boolean reachable) {
    viewDirty |= before != reachable;
    if (!reachable && nextViewNanos - nowNanos > URGENT_VIEW_NANOS) {
      nextViewNanos = nowNanos + URGENT_VIEW_NANOS;
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("members", table.rows().size());
    dump.put("heartbeatPeers", List.copyOf(peers));
    dump.put("regions", regions.regions());
    dump.put("cutRegions", List.copyOf(cutRegions));
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
    own =
        table.add(
            self.instanceId(), self.peerAddress(), self.failureDomain(), self.region(), startNanos);
    own.incarnation = self.incarnation();
    own.listed = true;
    nextListNanos = startNanos;
    nextCheckNanos = startNanos;
    nextProbeNanos = startNanos + DEAD_PROBE_NANOS;
    nextViewNanos = startNanos;
    nextHeartbeatNanos = startNanos + random.nextLong(heartbeatNanos);
    nextRegionNanos = startNanos + random.nextLong(REGION_REPORT_NANOS);
    changed(own);
  }

  /** Messages wait while this process is paused, so the pause says nothing about the others. */
  private void allowForPause() {
    long pauseNanos = nowNanos - lastTickNanos;
    if (pauseNanos <= heartbeatNanos) {
      return;
    }
    LOG.warnf("membership.paused instance=%s nanos=%d", self.instanceId(), pauseNanos);
    for (MemberRow row : table.rows().values()) {
      row.shift(pauseNanos);
    }
    regions.shift(pauseNanos);
  }

  // Instance list.

  private void pollList() {
    if (listPending && nowNanos - listSentNanos < LIST_TIMEOUT_NANOS) {
      return;
    }
    nextListNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(timings.listPollMillis());
    listPending = true;
    listSentNanos = nowNanos;
    long poll = ++polls;
    Completions.onComplete(
        instanceList.list(),
        (listed, failure) -> {
          if (poll != polls) {
            return;
          }
          listPending = false;
          if (failure == null) {
            applyList(listed);
          } else {
            LOG.debugf("membership.list.failed reason=%s", failure.getMessage());
          }
        });
  }

  private void applyList(List<ListedInstance> listed) {
    Set<String> ids = new HashSet<>();
    for (ListedInstance instance : listed) {
      ids.add(instance.instanceId());
      if (!instance.instanceId().equals(self.instanceId())) {
        applyListed(instance);
      }
    }
    for (MemberRow row : table.rows().values()) {
      if (row.listed && row != own && !ids.contains(row.instanceId)) {
        row.listed = false;
        row.unlistedSinceNanos = nowNanos;
        if (absentSince.size() < MAX_ABSENT) {
          absentSince.put(row.instanceId, nowNanos);
        }
        viewDirty = true;
      }
    }
    if (absentSince.keySet().removeAll(ids)) {
      viewDirty = true;
    }
  }

  private void applyListed(ListedInstance instance) {
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
      row.locate(instance.peerAddress(), instance.failureDomain(), instance.region());
      if (instance.leaving()) {
        row.moveTo(MemberState.LEAVING, nowNanos);
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
    for (StoreObservation flag : heartbeat.storeObservations()) {
      MemberRow row = byHash.get(flag.memberHash());
      if (row != null && row != own) {
        boolean before = row.storeReachable;
        row.observeStore(flag.reachable(), flag.ageMillis(), nowNanos);
        noteStoreFlag(before, row.storeReachable);
      }
    }
    MemberRow row = table.get(from);
    if (row == null) {
      return;
    }
    MemberState before = row.state;
    final boolean reachableBefore = row.storeReachable;
    if (table.mergeHeartbeat(row, heartbeat, nowNanos)) {
      changed(row);
      logChange(row, before);
    }
    noteStoreFlag(reachableBefore, row.storeReachable);
    if (row.state == MemberState.DEAD) {
      tell(row);
    }
    trackDigest(row, heartbeat.memberDigest());
  }

  private void onUpdate(String from, MemberUpdate update) {
    boolean aboutSelf = false;
    for (MemberEntry entry : update.entries()) {
      aboutSelf |=
          entry.instanceId().equals(self.instanceId())
              && entry.state() != MemberState.ALIVE
              && entry.state() != MemberState.LEAVING;
      mergeEntry(entry);
    }
    acceptRegions(update.regions());
    if (aboutSelf) {
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
    Outcome outcome = table.merge(entry, nowNanos);
    if (outcome == Outcome.UNCHANGED) {
      return;
    }
    MemberRow row = table.get(entry.instanceId());
    if (outcome == Outcome.CONTRADICTED) {
      tellAbout(row, entry);
      return;
    }
    if (firstReport && row.state == stateBefore && !row.region.equals(self.region())) {
      // The instance list named the member already. Relaying this for every remote member would
      // cost 27 entries each when a fleet starts.
      viewDirty = true;
      return;
    }
    changed(row);
    logChange(row, stateBefore);
  }

  private void refute(MemberEntry entry) {
    boolean doubted = entry.state() == MemberState.SUSPECT || entry.state() == MemberState.DEAD;
    if (!doubted
        || entry.incarnation() > self.incarnation()
        || (entry.incarnation() == self.incarnation() && entry.refutations() < own.refutations)) {
      return;
    }
    if (entry.incarnation() == self.incarnation()) {
      own.refutations = entry.refutations() + 1;
    }
    refuted++;
    LOG.infof("membership.refuted instance=%s refutations=%d", self.instanceId(), own.refutations);
    changed(own);
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

  /** Tells a member how it is seen here, so that it can refute. */
  private void tell(MemberRow row) {
    tellAbout(row, row.toEntry(nowNanos));
  }

  private void tellAbout(MemberRow row, MemberEntry entry) {
    if (nowNanos - row.lastToldNanos < heartbeatNanos) {
      return;
    }
    row.lastToldNanos = nowNanos;
    refreshOwnStoreFlag();
    sender.send(row.instanceId, new MemberUpdate(List.of(own.toEntry(nowNanos), entry), List.of()));
  }

  private void sendUpdate(String toInstanceId) {
    refreshOwnStoreFlag();
    List<MemberEntry> entries = new ArrayList<>();
    entries.add(own.toEntry(nowNanos));
    MemberRow row = table.get(toInstanceId);
    if (row != null && (row.state == MemberState.SUSPECT || row.state == MemberState.DEAD)) {
      entries.add(row.toEntry(nowNanos));
    }
    sender.send(toInstanceId, new MemberUpdate(entries, List.of()));
  }

  // Silence.

  private void checkSilence() {
    List<String> forgotten = new ArrayList<>();
    for (MemberRow row : table.rows().values()) {
      if (row == own) {
        continue;
      }
      MemberState before = row.state;
      if (row.region.equals(self.region())) {
        checkLocal(row);
      } else {
        checkRemote(row);
      }
      if (row.state != before) {
        changed(row);
        logChange(row, before);
      }
      if (row.state == MemberState.DEAD
          && !row.listed
          && nowNanos - row.stateSinceNanos > FORGET_DEAD_NANOS) {
        forgotten.add(row.instanceId);
      }
    }
    forgotten.forEach(table::remove);
    absentSince
        .entrySet()
        .removeIf(
            entry ->
                nowNanos - entry.getValue() > FORGET_ABSENT_NANOS
                    && table.get(entry.getKey()) == null);
    checkRegions();
  }

  private void checkLocal(MemberRow row) {
    if (row.state == MemberState.DEAD) {
      return;
    }
    if (row.incarnation == 0 && nowNanos - row.listedOnlySinceNanos >= LISTED_ONLY_NANOS) {
      row.moveTo(MemberState.DEAD, nowNanos);
      return;
    }
    boolean expected = peers.contains(row.instanceId);
    long silentNanos = row.silentNanos(nowNanos);
    if (expected && silentNanos >= deadNanos) {
      row.moveTo(MemberState.DEAD, nowNanos);
      declaredDead++;
    } else if (expected && silentNanos >= suspectNanos && row.state == MemberState.ALIVE) {
      row.moveTo(MemberState.SUSPECT, nowNanos);
      suspected++;
      tell(row);
    } else if (row.state == MemberState.SUSPECT
        && silentNanos >= suspectNanos
        && nowNanos - row.stateSinceNanos >= deadNanos - suspectNanos) {
      row.moveTo(MemberState.DEAD, nowNanos);
      declaredDead++;
    }
  }

  private void checkRemote(MemberRow row) {
    boolean silent = cutRegions.contains(row.region) || row.incarnation == 0;
    if (row.state != MemberState.DEAD
        && !row.listed
        && silent
        && nowNanos - row.unlistedSinceNanos > REMOTE_ABSENT_NANOS) {
      row.moveTo(MemberState.DEAD, nowNanos);
    }
  }

  private void checkRegions() {
    Set<String> cut = Set.copyOf(regions.silent(nowNanos));
    if (!cut.equals(cutRegions)) {
      LOG.warnf("membership.regions.cut before=%s now=%s", cutRegions, cut);
      cutRegions = cut;
      viewDirty = true;
    }
  }

  /** Lets two parts of a region that held each other dead find each other again. */
  private void probeDead() {
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
    final boolean reachableBefore = own.storeReachable;
    refreshOwnStoreFlag();
    noteStoreFlag(reachableBefore, own.storeReachable);
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    List<StoreObservation> flags = storeFlags();
    int flagOffset = flags.isEmpty() ? 0 : random.nextInt(flags.size());
    sequence++;
    for (String peer : peers) {
      List<StoreObservation> window = window(flags, flagOffset);
      flagOffset += window.size();
      sender.send(peer, heartbeat(table.get(peer), config, window));
    }
  }

  private Heartbeat heartbeat(MemberRow peer, ConfigSnapshot config, List<StoreObservation> flags) {
    return new Heartbeat(
        self.incarnation(),
        own.refutations,
        sequence,
        own.state == MemberState.LEAVING,
        own.storeReachable,
        own.storeAgeMillis(nowNanos),
        config.revision(),
        config.digest(),
        regionDigest,
        heartbeatEntries(peer),
        regionSummaries(),
        flags);
  }

  private List<MemberEntry> heartbeatEntries(MemberRow peer) {
    List<MemberEntry> entries = new ArrayList<>();
    for (String id : gossip.take(Heartbeat.MAX_ENTRIES)) {
      MemberRow row = table.get(id);
      if (row != null && (row.incarnation > 0 || row.state == MemberState.DEAD)) {
        entries.add(row.toEntry(nowNanos));
      }
    }
    if (peer.digestDiffers && nowNanos - peer.digestDiffersSinceNanos > REPAIR_AFTER_NANOS) {
      addRepairs(peer, entries);
    }
    return entries;
  }

  /** Fills the free places with the next members in id order, so that lost gossip is made up. */
  private void addRepairs(MemberRow peer, List<MemberEntry> entries) {
    repairs++;
    int places = Math.min(Heartbeat.MAX_ENTRIES - entries.size(), table.rows().size());
    for (int i = 0; i < places; i++) {
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
      RegionSummary summary = regions.lastOf(region);
      if (summary != null) {
        summaries.add(summary);
      }
    }
    return summaries;
  }

  /**
   * Returns the fresh observations of the key-value service in this region while anyone reports it
   * unreachable. Nothing is relayed when every member is a heartbeat peer or while the service
   * works.
   */
  private List<StoreObservation> storeFlags() {
    if (peers.size() >= regionSize - 1) {
      return List.of();
    }
    List<StoreObservation> flags = new ArrayList<>();
    boolean unreachable = false;
    for (MemberRow row : byHash.values()) {
      if (nowNanos - row.storeObservedNanos <= STORE_FLAG_NANOS) {
        flags.add(new StoreObservation(row.hash, row.storeReachable, row.storeAgeMillis(nowNanos)));
        unreachable |= !row.storeReachable;
      }
    }
    return unreachable ? flags : List.of();
  }

  private static List<StoreObservation> window(List<StoreObservation> flags, int offset) {
    List<StoreObservation> window = new ArrayList<>();
    int size = Math.min(STORE_FLAGS_PER_HEARTBEAT, flags.size());
    for (int i = 0; i < size; i++) {
      window.add(flags.get((offset + i) % flags.size()));
    }
    return window;
  }

  private void refreshOwnStoreFlag() {
    own.storeReachable = store.isReachable();
    own.storeObservedNanos = store.observedNanos();
  }

  // Other regions.

  private void reportRegion() {
    if (regions.regions().isEmpty() || !representatives(self.region()).contains(own.instanceId)) {
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

  /** Returns changed members of this region, then some unchanged ones to make up for losses. */
  private List<MemberEntry> remoteEntries() {
    refreshOwnStoreFlag();
    List<MemberEntry> entries = new ArrayList<>();
    entries.add(own.toEntry(nowNanos));
    int changes = MemberUpdate.MAX_ENTRIES - 1 - REMOTE_REFRESH_ENTRIES;
    for (String id : remoteGossip.take(changes)) {
      MemberRow row = table.get(id);
      if (row != null && row != own && isSettled(row)) {
        entries.add(row.toEntry(nowNanos));
      }
    }
    int places = Math.min(REMOTE_REFRESH_ENTRIES, table.rows().size());
    for (int i = 0; i < places; i++) {
      Map.Entry<String, MemberRow> next = nextLocal();
      remoteCursor = next.getKey();
      if (next.getValue() != own && isSettled(next.getValue())) {
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

  /** Returns whether a member's state may pass to other regions; suspicions stay inside. */
  private boolean isSettled(MemberRow row) {
    return row.region.equals(self.region())
        && row.incarnation > 0
        && row.state != MemberState.SUSPECT;
  }

  private String remoteTarget(String region) {
    if (!cutRegions.contains(region)) {
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
    return ordered.subList(0, Math.min(REPRESENTATIVES, ordered.size()));
  }

  // Derived values.

  private void changed(MemberRow row) {
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
    byHash.clear();
    int digest = 0;
    for (MemberRow row : table.rows().values()) {
      if (!row.region.equals(self.region())) {
        regions.expect(row.region, nowNanos);
        continue;
      }
      digest ^= row.digest();
      byHash.merge(row.hash, row, (a, b) -> a);
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
    refreshOwnStoreFlag();
    viewDirty = false;
    nextViewNanos = nowNanos + VIEW_NANOS;
    Map<String, Member> members = new TreeMap<>();
    Set<String> ended = new TreeSet<>(absentSince.keySet());
    for (MemberRow row : table.rows().values()) {
      if (row.hasDeparted()) {
        ended.add(row.instanceId);
      }
      Member member = row.toMember();
      boolean cut = row.state == MemberState.ALIVE && cutRegions.contains(row.region);
      members.put(row.instanceId, cut ? member.withState(MemberState.SUSPECT) : member);
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
