package org.buckthornferry.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.ClaimBackup;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.peer.ClaimReply;
import org.buckthornferry.peer.ClaimRequest;
import org.buckthornferry.peer.ClaimUpdate;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Owner, backup and client of claims in one process: serves the claim shards that this process
 * owns, stores copies for other owners, and claims identities for the local request path. All
 * methods must be called on the control thread.
 */
public final class ClaimController implements Controller {
  private static final Logger LOG = Logger.getLogger(ClaimController.class);

  private final Blackboard blackboard;
  private final PeerSender network;
  private final OwnershipCheck ownership;
  private final MonotonicClock clock;
  private final ProcessIncarnation self;
  private final ClaimStoreCalls calls = new ClaimStoreCalls();
  private final ClaimTable table;
  private final ClaimJournal journal;
  private final ClaimBackups backups;
  private final ClaimOwner owner;
  private final ClaimClient client;
  private final ClaimRecovery.Dependencies recoveryDependencies;
  private final Set<Integer> servedSinceStart = new HashSet<>();
  private ClaimRecovery recovery;
  private long lastRequestNumber;

  /**
   * Creates a controller that does not serve any shard yet.
   *
   * @param instanceId the id of this instance
   * @param incarnation the start time of this process, in milliseconds since the epoch
   * @param clock provides the completion time of store calls
   */
  public ClaimController(
      String instanceId,
      long incarnation,
      Blackboard blackboard,
      PeerSender network,
      KeyValueStore store,
      OwnershipCheck ownership,
      MonotonicClock clock,
      ClaimSettings settings) {
    this.blackboard = Checks.notNull(blackboard, "blackboard");
    this.network = Checks.notNull(network, "network");
    this.ownership = Checks.notNull(ownership, "ownership");
    this.clock = Checks.notNull(clock, "clock");
    this.self = new ProcessIncarnation(instanceId, incarnation);
    SegmentRetention retention = new SegmentRetention();
    this.table =
        new ClaimTable(
            settings.claimWindowMillis(), settings.maxClaims(), settings.maxResponseBytes());
    this.journal = new ClaimJournal(store, clock, self, settings, calls, retention, this::hasEnded);
    this.backups = new ClaimBackups(settings);
    this.owner =
        new ClaimOwner(blackboard, this::send, ownership, clock, settings, table, journal, backups);
    this.client = new ClaimClient(blackboard, self, settings, this::send);
    this.recoveryDependencies =
        new ClaimRecovery.Dependencies(store, this::send, self, settings, calls, retention);
  }

  /**
   * Claims an identity before its request is dispatched. The future completes within the claim
   * timeout and never fails. After {@link ClaimOutcome.Granted} the caller dispatches the request
   * once and reports with {@link #dispatched}, then exactly one of {@link #answered}, {@link
   * #released} and {@link #failed}; after any other outcome it does not dispatch.
   */
  public CompletableFuture<ClaimOutcome> claim(
      RequestIdentity identity, ContentHash content, boolean idempotent, long nowNanos) {
    return client.claim(
        Checks.notNull(identity, "identity"),
        Checks.notNull(content, "content"),
        idempotent,
        nowNanos);
  }

  /** Reports that the request is about to be sent; called before the first byte is sent. */
  public void dispatched(RequestIdentity identity, String endpointId, long nowNanos) {
    client.dispatched(identity, Checks.notEmpty(endpointId, "endpointId"), nowNanos);
  }

  /** Reports the complete response, which answers retries within the claim window. */
  public void answered(RequestIdentity identity, StoredResponse response, long nowNanos) {
    client.answered(identity, Checks.notNull(response, "response"), nowNanos);
  }

  /** Reports that the request did not and will not run; a retry is a new request. */
  public void released(RequestIdentity identity, long nowNanos) {
    client.released(identity, nowNanos);
  }

  /**
   * Reports that the request ran or may have run without a complete response. A retry of an
   * idempotent request is a new request; a retry of a non-idempotent one gets "unknown".
   */
  public void failed(RequestIdentity identity, long nowNanos) {
    client.failed(identity, nowNanos);
  }

  /** Returns the id of this instance, as in {@link ClaimOutcome.Running}. */
  public String instanceId() {
    return self.instanceId();
  }

  /** Returns whether this process serves a claim shard. */
  public boolean serves(int shard) {
    return owner.served().containsKey(shard);
  }

  /** Returns the counters of this controller's store calls. */
  public ClaimStoreCalls storeCalls() {
    return calls;
  }

  @Override
  public void onMessage(String fromInstanceId, PeerMessage message, long nowNanos) {
    if (message instanceof ClaimRequest request) {
      owner.onClaim(request, shardOf(request.claim()), nowNanos);
    } else if (message instanceof ClaimReply reply) {
      client.onReply(reply, nowNanos);
    } else if (message instanceof ClaimUpdate update) {
      owner.onUpdate(update, shardOf(update.claim()), nowNanos);
    } else if (message instanceof ClaimBackup backup) {
      onBackup(fromInstanceId, backup, nowNanos);
    }
  }

  private void onBackup(String from, ClaimBackup message, long nowNanos) {
    switch (message.kind()) {
      case STORE -> message.copies().forEach(copy -> backups.store(copy, nowNanos));
      case FETCH -> sendContents(from, message);
      default -> {
        if (recovery != null) {
          recovery.onContents(from, message);
        }
      }
    }
  }

  private void sendContents(String to, ClaimBackup fetch) {
    List<List<ClaimCopy>> parts =
        ClaimBackups.splitIntoParts(backups.copiesOf(new HashSet<>(fetch.shards())));
    for (int i = 0; i < parts.size(); i++) {
      send(
          to,
          new ClaimBackup(
              ClaimBackup.Kind.CONTENTS,
              fetch.requestNumber(),
              i,
              parts.size(),
              List.of(),
              parts.get(i)));
    }
  }

  @Override
  public void onTick(long nowNanos) {
    updateServedShards(nowNanos);
    advanceRecovery(nowNanos);
    owner.onTick(nowNanos);
    client.onTick(nowNanos);
    backups.onTick(nowNanos);
  }

  private void updateServedShards(long nowNanos) {
    Map<Integer, Long> owned = ownedShards();
    Set<Integer> lost = new HashSet<>();
    owner
        .served()
        .forEach(
            (shard, fencing) -> {
              if (!fencing.equals(owned.get(shard))) {
                lost.add(shard);
              }
            });
    if (!lost.isEmpty()) {
      owner.stopServing(lost, nowNanos);
    }
    if (recovery == null) {
      owned.keySet().removeAll(owner.served().keySet());
      if (!owned.isEmpty() && !journal.isCommitting(owned.keySet())) {
        startRecovery(owned, nowNanos);
      }
    }
  }

  private void startRecovery(Map<Integer, Long> shards, long nowNanos) {
    recovery =
        new ClaimRecovery(
            recoveryDependencies,
            shards,
            this::writersOf,
            blackboard.read(MembershipView.ENTRY),
            ++lastRequestNumber,
            nowNanos);
    backups.copiesOf(shards.keySet()).forEach(recovery::merge);
  }

  /**
   * Returns the processes whose journals may hold claims of a shard. Includes this process if it
   * served the shard before, even if its ownership was never recorded.
   */
  private Set<ProcessIncarnation> writersOf(int shard) {
    Set<ProcessIncarnation> writers = new LinkedHashSet<>(ownership.formerOwners(shard));
    if (servedSinceStart.contains(shard)) {
      writers.add(self);
    }
    return writers;
  }

  private void advanceRecovery(long nowNanos) {
    if (recovery == null) {
      return;
    }
    recovery.onTick(nowNanos);
    if (!recovery.isDone(nowNanos)) {
      return;
    }
    ClaimRecovery done = recovery;
    recovery = null;
    if (!ownedShards().entrySet().containsAll(done.fencingByShard().entrySet())) {
      // A shard changed owner during the recovery; the remaining shards are recovered again.
      return;
    }
    owner.serve(done, nowNanos);
    servedSinceStart.addAll(done.fencingByShard().keySet());
    LOG.infof(
        "event=claim_shards_recovered shards=%d claims=%d elapsedMillis=%d",
        done.fencingByShard().size(), done.copies().size(), done.elapsedMillis(nowNanos));
  }

  private Map<Integer, Long> ownedShards() {
    Map<Integer, Long> owned = new TreeMap<>();
    blackboard
        .read(ShardMap.ENTRY)
        .owners()
        .getOrDefault(ShardKind.CLAIM, Map.of())
        .forEach(
            (shard, shardOwner) -> {
              if (shardOwner.instanceId().equals(self.instanceId())
                  && shardOwner.incarnation() == self.incarnation()) {
                owned.put(shard, shardOwner.fencingNumber());
              }
            });
    return owned;
  }

  private int shardOf(org.buckthornferry.peer.ClaimFields fields) {
    return blackboard
        .read(ShardMap.ENTRY)
        .shardOf(ClaimFieldsConverter.identityOf(fields).shardKey());
  }

  private boolean hasEnded(ProcessIncarnation process) {
    return blackboard
        .read(MembershipView.ENTRY)
        .hasEnded(process.instanceId(), process.incarnation());
  }

  /** Sends a message; delivers messages to this instance directly, without the network. */
  private void send(String to, PeerMessage message) {
    if (to.equals(self.instanceId())) {
      onMessage(to, message, clock.nanoTime());
    } else {
      network.send(to, message);
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<String, Object> dump = new HashMap<>();
    dump.put("servedShards", owner.served().size());
    dump.put("recovering", recovery != null);
    dump.put("claims", table.size());
    dump.put("responseBytes", table.responseBytes());
    dump.put("copies", backups.size());
    dump.put("journalSegment", journal.segmentNumber());
    dump.put("journalPending", journal.pendingCount());
    dump.put("openClaims", client.openCount());
    dump.put("pendingClaims", client.pendingCount());
    dump.put("unacknowledgedUpdates", client.unacknowledgedCount());
    dump.put("storeCalls", calls.dump());
    return dump;
  }
}
