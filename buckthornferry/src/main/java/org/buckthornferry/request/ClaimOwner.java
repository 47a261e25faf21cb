package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.ClaimBackup;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.peer.ClaimFields;
import org.buckthornferry.peer.ClaimReply;
import org.buckthornferry.peer.ClaimRequest;
import org.buckthornferry.peer.ClaimResponse;
import org.buckthornferry.peer.ClaimUpdate;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.util.MonotonicClock;

/**
 * Processes claims and updates of the shards that this process serves. A shard is served from the
 * end of its recovery until the shard map assigns it to another owner. Used on the control thread
 * only.
 */
final class ClaimOwner {
  /** Limits the memory for rejected tokens, whose retries arrive within seconds. */
  private static final int MAX_REJECTED_TOKENS = 4_096;

  private final Blackboard blackboard;
  private final PeerSender sender;
  private final OwnershipCheck ownership;
  private final MonotonicClock clock;
  private final ClaimSettings settings;
  private final ClaimTable table;
  private final ClaimJournal journal;
  private final ClaimBackups backups;
  private final Map<Integer, Long> fencingByServedShard = new HashMap<>();
  private final Map<Integer, String> backupByShard = new HashMap<>();
  private final ArrayDeque<PendingGrant> pendingGrants = new ArrayDeque<>();
  private final Map<Claim, PendingGrant> grantByClaim = new HashMap<>();
  private final LinkedHashSet<ClaimToken> rejectedTokens = new LinkedHashSet<>();
  private final Set<RequestIdentity> committingAnswers = new HashSet<>();
  private MembershipView lastPlacementView = MembershipView.EMPTY;

  /** A non-idempotent claim that waits for its journal commit. */
  private static final class PendingGrant {
    private final Claim claim;
    private final ClaimFields request;
    private final boolean newlyAdded;
    private final long sinceNanos;
    private ClaimJournal.Entry entry;
    private boolean settled;

    private PendingGrant(Claim claim, ClaimFields request, boolean newlyAdded, long sinceNanos) {
      this.claim = claim;
      this.request = request;
      this.newlyAdded = newlyAdded;
      this.sinceNanos = sinceNanos;
    }
  }

  ClaimOwner(
      Blackboard blackboard,
      PeerSender sender,
      OwnershipCheck ownership,
      MonotonicClock clock,
      ClaimSettings settings,
      ClaimTable table,
      ClaimJournal journal,
      ClaimBackups backups) {
    this.blackboard = blackboard;
    this.sender = sender;
    this.ownership = ownership;
    this.clock = clock;
    this.settings = settings;
    this.table = table;
    this.journal = journal;
    this.backups = backups;
  }

  Map<Integer, Long> served() {
    return fencingByServedShard;
  }

  /** Starts serving the shards of a completed recovery. */
  void serve(ClaimRecovery recovery, long nowNanos) {
    fencingByServedShard.putAll(recovery.fencingByShard());
    for (ClaimCopy copy : recovery.copies()) {
      Claim claim = Claim.recovered(copy, nowNanos);
      table.addRecovered(claim);
    }
    placeBackups(true);
  }

  /** Stops serving shards that this process lost; keeps their idempotent claims as copies. */
  void stopServing(Set<Integer> shards, long nowNanos) {
    for (PendingGrant grant : List.copyOf(pendingGrants)) {
      if (shards.contains(grant.claim.shard)) {
        grant.entry.withdraw();
        settle(grant);
        reply(grant.request, ClaimReply.Kind.NOT_OWNER, 0);
      }
    }
    table.removeShards(
        shards,
        claim -> {
          if (claim.isIdempotent()) {
            backups.store(copy(claim), nowNanos);
          }
        });
    shards.forEach(fencingByServedShard::remove);
    shards.forEach(backupByShard::remove);
  }

  void onTick(long nowNanos) {
    rejectOverdueGrants(nowNanos);
    journal.onTick(nowNanos);
    table.sweep(nowNanos, claim -> failOverdue(claim, nowNanos), claim -> probe(claim, nowNanos));
    placeBackups(false);
  }

  void onClaim(ClaimRequest message, int shard, long nowNanos) {
    ClaimFields request = message.claim();
    if (!fencingByServedShard.containsKey(shard) || !ownership.ownsNow(shard, nowNanos)) {
      reply(request, ClaimReply.Kind.NOT_OWNER, 0);
      return;
    }
    if (rejectedTokens.contains(ClaimFieldsConverter.tokenOf(request))) {
      // The client ends the token at the first rejection, so a late retry must not claim again.
      reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
      return;
    }
    Claim claim = table.get(ClaimFieldsConverter.identityOf(request));
    if (claim == null) {
      claimNew(request, shard, nowNanos);
    } else if (table.isExpired(claim, nowNanos)) {
      reply(request, ClaimReply.Kind.EXPIRED, 0);
    } else if (!claim.content.equals(ClaimFieldsConverter.contentOf(request))) {
      reply(request, ClaimReply.Kind.KEY_REUSED, 0);
    } else if (claim.token().equals(ClaimFieldsConverter.tokenOf(request))) {
      onHolderRetry(claim, request);
    } else {
      onOtherToken(claim, request, nowNanos);
    }
  }

  private void claimNew(ClaimFields request, int shard, long nowNanos) {
    Claim claim =
        new Claim(
            ClaimFieldsConverter.identityOf(request),
            ClaimFieldsConverter.contentOf(request),
            shard,
            request.idempotent(),
            ClaimFieldsConverter.tokenOf(request),
            nowNanos);
    if (table.add(claim)) {
      grant(claim, request, true, nowNanos);
    } else if (request.idempotent()) {
      // The request may have run under an evicted claim, so UNAVAILABLE could be wrong.
      reply(request, ClaimReply.Kind.UNKNOWN, settings.resendMillis());
    } else {
      reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
    }
  }

  /** Answers a retry by the token that holds the claim; the client ignores duplicate replies. */
  private void onHolderRetry(Claim claim, ClaimFields request) {
    if (claim.isCommitting()) {
      return;
    }
    switch (claim.state()) {
      case CLAIMED, DISPATCHED -> reply(request, ClaimReply.Kind.GRANTED, 0);
      case ANSWERED -> replyAnswered(claim, request);
      case RELEASED -> reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
      default -> {
        // A claim recovered from a journal was granted to this token, and only it may dispatch.
        boolean dispatchUnconfirmed = isDispatchUnconfirmed(claim);
        reply(request, dispatchUnconfirmed ? ClaimReply.Kind.GRANTED : ClaimReply.Kind.UNKNOWN, 0);
      }
    }
  }

  private void onOtherToken(Claim claim, ClaimFields request, long nowNanos) {
    ClaimToken token = ClaimFieldsConverter.tokenOf(request);
    switch (claim.state()) {
      case CLAIMED, DISPATCHED -> onRetryOfOpenClaim(claim, request, nowNanos);
      case ANSWERED -> {
        if (claim.isIdempotent() && claim.response() == null && !claim.endpointId().isEmpty()) {
          resume(claim, token, request, nowNanos);
        } else {
          replyAnswered(claim, request);
        }
      }
      case RELEASED -> reclaim(claim, request, nowNanos);
      default -> {
        if (claim.isIdempotent()) {
          reclaim(claim, request, nowNanos);
        } else {
          reply(request, ClaimReply.Kind.UNKNOWN, 0);
        }
      }
    }
  }

  private void onRetryOfOpenClaim(Claim claim, ClaimFields request, long nowNanos) {
    ClaimToken token = ClaimFieldsConverter.tokenOf(request);
    if (claim.isCommitting() || !hasEnded(claim.token(), token)) {
      replyRunning(claim, request);
    } else if (!claim.isIdempotent()) {
      claim.fail(nowNanos);
      reply(request, ClaimReply.Kind.UNKNOWN, 0);
    } else if (claim.state() == ClaimState.DISPATCHED) {
      resume(claim, token, request, nowNanos);
    } else {
      claim.release(nowNanos);
      reclaim(claim, request, nowNanos);
    }
  }

  private void reclaim(Claim claim, ClaimFields request, long nowNanos) {
    claim.reclaim(ClaimFieldsConverter.tokenOf(request), request.idempotent(), nowNanos);
    grant(claim, request, false, nowNanos);
  }

  private void resume(Claim claim, ClaimToken token, ClaimFields request, long nowNanos) {
    claim.resume(token, nowNanos);
    backUp(claim);
    send(
        request,
        new ClaimReply(
            request.holderIncarnation(),
            request.tokenNumber(),
            ClaimReply.Kind.RESUMED,
            request.holderId(),
            claim.endpointId(),
            true,
            ClaimResponse.NONE,
            0));
  }

  private void grant(Claim claim, ClaimFields request, boolean newlyAdded, long nowNanos) {
    if (claim.isIdempotent()) {
      backUp(claim);
      reply(request, ClaimReply.Kind.GRANTED, 0);
      return;
    }
    claim.setCommitting(true);
    PendingGrant grant = new PendingGrant(claim, request, newlyAdded, nowNanos);
    pendingGrants.add(grant);
    grantByClaim.put(claim, grant);
    grant.entry =
        journal.append(
            copy(claim),
            new ClaimJournal.Listener() {
              @Override
              public void committed() {
                if (settle(grant)) {
                  reply(request, ClaimReply.Kind.GRANTED, 0);
                }
              }

              @Override
              public void rejected() {
                if (settle(grant)) {
                  undoClaim(grant, clock.nanoTime());
                  reply(request, ClaimReply.Kind.NOT_OWNER, 0);
                }
              }
            },
            nowNanos);
  }

  private boolean settle(PendingGrant grant) {
    if (grant.settled) {
      return false;
    }
    grant.settled = true;
    grant.claim.setCommitting(false);
    grantByClaim.remove(grant.claim);
    pendingGrants.remove(grant);
    return true;
  }

  /** Removes or releases a claim whose grant was not sent. */
  private void undoClaim(PendingGrant grant, long nowNanos) {
    if (grant.newlyAdded) {
      table.remove(grant.claim);
    } else {
      grant.claim.release(nowNanos);
    }
  }

  private void rejectOverdueGrants(long nowNanos) {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(settings.journalWaitMillis());
    while (!pendingGrants.isEmpty() && nowNanos - pendingGrants.peek().sinceNanos >= waitNanos) {
      PendingGrant grant = pendingGrants.peek();
      reject(grant, nowNanos);
      reply(grant.request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
    }
  }

  private void reject(PendingGrant grant, long nowNanos) {
    final boolean neverStored = grant.entry.withdraw();
    settle(grant);
    grant.claim.release(nowNanos);
    rememberRejected(grant.claim.token());
    if (!neverStored) {
      // The claim may be in the store; without the release a new owner would treat it as unknown.
      journal.append(copy(grant.claim), null, nowNanos);
    }
    if (grant.newlyAdded) {
      table.remove(grant.claim);
    }
  }

  private void rememberRejected(ClaimToken token) {
    rejectedTokens.add(token);
    if (rejectedTokens.size() > MAX_REJECTED_TOKENS) {
      rejectedTokens.remove(rejectedTokens.iterator().next());
    }
  }

  void onUpdate(ClaimUpdate update, int shard, long nowNanos) {
    if (!fencingByServedShard.containsKey(shard) || !ownership.ownsNow(shard, nowNanos)) {
      return;
    }
    Claim claim = table.get(ClaimFieldsConverter.identityOf(update.claim()));
    if (claim == null) {
      claim = addFromUpdate(update, shard, nowNanos);
    }
    if (claim == null || !claim.token().equals(ClaimFieldsConverter.tokenOf(update.claim()))) {
      acknowledge(update);
    } else {
      apply(claim, update, nowNanos);
    }
  }

  /** Adds a claim whose copies were lost with the former owner and its backup. */
  private Claim addFromUpdate(ClaimUpdate update, int shard, long nowNanos) {
    if (update.kind() == ClaimUpdate.Kind.RELEASED) {
      return null;
    }
    ClaimFields fields = update.claim();
    Claim claim =
        new Claim(
            ClaimFieldsConverter.identityOf(fields),
            ClaimFieldsConverter.contentOf(fields),
            shard,
            fields.idempotent(),
            ClaimFieldsConverter.tokenOf(fields),
            nowNanos);
    table.addRecovered(claim);
    return claim;
  }

  private void apply(Claim claim, ClaimUpdate update, long nowNanos) {
    PendingGrant grant = grantByClaim.get(claim);
    if (grant != null) {
      reject(grant, nowNanos);
      acknowledge(update);
      return;
    }
    if (!changesState(claim, update.kind())) {
      if (!committingAnswers.contains(claim.identity)) {
        acknowledge(update);
      }
      return;
    }
    switch (update.kind()) {
      case DISPATCHED -> claim.dispatch(update.endpointId(), nowNanos);
      case ANSWERED -> table.answer(claim, responseOf(update), nowNanos);
      case RELEASED -> claim.release(nowNanos);
      default -> claim.fail(nowNanos);
    }
    if (claim.isIdempotent()) {
      backUp(claim);
      acknowledge(update);
    } else {
      journalUpdate(claim, update, nowNanos);
    }
  }

  private void journalUpdate(Claim claim, ClaimUpdate update, long nowNanos) {
    if (update.kind() == ClaimUpdate.Kind.ANSWERED) {
      committingAnswers.add(claim.identity);
      journal.append(
          copy(claim),
          new ClaimJournal.Listener() {
            @Override
            public void committed() {
              committingAnswers.remove(claim.identity);
              acknowledge(update);
            }

            @Override
            public void rejected() {
              // The client resends its update to the new owner.
              committingAnswers.remove(claim.identity);
            }
          },
          nowNanos);
      return;
    }
    if (update.kind() == ClaimUpdate.Kind.RELEASED) {
      journal.append(copy(claim), null, nowNanos);
    }
    acknowledge(update);
  }

  /**
   * Returns whether an update changes the state of a claim. Updates can arrive late, and a late
   * dispatch report does not change a claim that was already dispatched or settled.
   */
  private static boolean changesState(Claim claim, ClaimUpdate.Kind kind) {
    return kind == ClaimUpdate.Kind.DISPATCHED
        ? claim.state() == ClaimState.CLAIMED
        : claim.state().allows(stateAfter(kind), claim.isIdempotent());
  }

  private static ClaimState stateAfter(ClaimUpdate.Kind kind) {
    return switch (kind) {
      case DISPATCHED -> ClaimState.DISPATCHED;
      case ANSWERED -> ClaimState.ANSWERED;
      case RELEASED -> ClaimState.RELEASED;
      case FAILED -> ClaimState.UNKNOWN;
    };
  }

  private static StoredResponse responseOf(ClaimUpdate update) {
    return update.response().isPresent() ? StoredResponse.ofMessage(update.response()) : null;
  }

  /** Marks an open claim without an update for the claim window as unknown. */
  private void failOverdue(Claim claim, long nowNanos) {
    if (claim.isCommitting()) {
      return;
    }
    claim.fail(nowNanos);
    if (!claim.isIdempotent()) {
      journal.append(copy(claim), null, nowNanos);
    }
  }

  /** Returns whether no dispatch is on record, so only the holder knows whether it has sent one. */
  private static boolean isDispatchUnconfirmed(Claim claim) {
    return claim.state() == ClaimState.CLAIMED
        || (claim.state() == ClaimState.UNKNOWN
            && !claim.isIdempotent()
            && claim.endpointId().isEmpty());
  }

  /**
   * Resends a grant whose holder has not reported for the claim timeout. A holder that has ended
   * the token, for example because a delayed duplicate of its request was granted, replies with the
   * token's outcome.
   */
  private void probe(Claim claim, long nowNanos) {
    long intervalNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis());
    boolean open = isDispatchUnconfirmed(claim) && !claim.isCommitting();
    if (open && claim.probeIfDue(nowNanos, intervalNanos) && !holderHasEnded(claim.token())) {
      reply(claim.fields(), ClaimReply.Kind.GRANTED, 0);
    }
  }

  private boolean hasEnded(ClaimToken holder, ClaimToken asking) {
    boolean restarted =
        holder.instanceId().equals(asking.instanceId())
            && holder.incarnation() < asking.incarnation();
    return restarted || holderHasEnded(holder);
  }

  private boolean holderHasEnded(ClaimToken holder) {
    return blackboard
        .read(MembershipView.ENTRY)
        .hasEnded(holder.instanceId(), holder.incarnation());
  }

  private ClaimCopy copy(Claim claim) {
    int maxBodyBytes =
        claim.isIdempotent() ? StoredResponse.MAX_KEPT_BYTES : StoredResponse.MAX_JOURNALLED_BYTES;
    return claim.copy(
        fencingByServedShard.getOrDefault(claim.shard, 0L), journal.nextSequence(), maxBodyBytes);
  }

  private void backUp(Claim claim) {
    String backup = backupByShard.get(claim.shard);
    if (backup != null) {
      sendCopies(backup, List.of(copy(claim)));
    }
  }

  /** Sends the idempotent claims of every shard with a changed backup to the new backup. */
  @SuppressWarnings("ReferenceEquality") // An unchanged view is the same object; equals is slow.
  private void placeBackups(boolean force) {
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    if (!force && view == lastPlacementView) {
      return;
    }
    lastPlacementView = view;
    Map<String, List<ClaimCopy>> copiesByBackup = new TreeMap<>();
    Set<Integer> shardsWithNewBackup = new HashSet<>();
    for (int shard : fencingByServedShard.keySet()) {
      List<String> ranked = BackupPlacement.rank(shard, view.selfId(), view);
      String chosen = ranked.isEmpty() ? null : ranked.get(0);
      if (chosen != null && !chosen.equals(backupByShard.put(shard, chosen))) {
        shardsWithNewBackup.add(shard);
      }
    }
    if (shardsWithNewBackup.isEmpty()) {
      return;
    }
    for (Claim claim : table.claims()) {
      if (claim.isIdempotent() && shardsWithNewBackup.contains(claim.shard)) {
        copiesByBackup
            .computeIfAbsent(backupByShard.get(claim.shard), id -> new ArrayList<>())
            .add(copy(claim));
      }
    }
    copiesByBackup.forEach(this::sendCopies);
  }

  private void sendCopies(String backup, List<ClaimCopy> copies) {
    for (List<ClaimCopy> part : ClaimBackups.splitIntoParts(copies)) {
      sender.send(backup, new ClaimBackup(ClaimBackup.Kind.STORE, 0, 0, 1, List.of(), part));
    }
  }

  private void replyAnswered(Claim claim, ClaimFields request) {
    if (claim.response() == null) {
      reply(request, ClaimReply.Kind.UNKNOWN, 0);
      return;
    }
    send(
        request,
        new ClaimReply(
            request.holderIncarnation(),
            request.tokenNumber(),
            ClaimReply.Kind.ANSWERED,
            "",
            "",
            false,
            claim.response().toMessage(),
            0));
  }

  private void replyRunning(Claim claim, ClaimFields request) {
    send(
        request,
        new ClaimReply(
            request.holderIncarnation(),
            request.tokenNumber(),
            ClaimReply.Kind.RUNNING,
            claim.token().instanceId(),
            claim.endpointId(),
            claim.isIdempotent() && claim.state() == ClaimState.DISPATCHED,
            ClaimResponse.NONE,
            0));
  }

  private void acknowledge(ClaimUpdate update) {
    boolean dispatched = update.kind() == ClaimUpdate.Kind.DISPATCHED;
    reply(
        update.claim(),
        dispatched ? ClaimReply.Kind.DISPATCH_RECORDED : ClaimReply.Kind.UPDATED,
        0);
  }

  private void reply(ClaimFields request, ClaimReply.Kind kind, long retryAfterMillis) {
    send(request, ClaimReply.withoutResponse(request, kind, retryAfterMillis));
  }

  private void send(ClaimFields request, ClaimReply reply) {
    sender.send(request.holderId(), reply);
  }
}
