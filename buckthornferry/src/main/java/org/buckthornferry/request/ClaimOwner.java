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
 * Decides claims of the shards that this process serves. A shard is served from the end of its
 * recovery until the shard map names another owner. Used on the control thread only.
 */
final class ClaimOwner {
  /** Bounds the memory for refused tokens; repeats arrive within seconds. */
  private static final int MAX_REFUSED_TOKENS = 4_096;

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
  private final LinkedHashSet<ClaimToken> refusedTokens = new LinkedHashSet<>();
  private final Set<RequestIdentity> answersCommitting = new HashSet<>();
  private MembershipView placedView = MembershipView.EMPTY;

  /** A non-idempotent claim that waits for the journal. */
  private static final class PendingGrant {
    private final Claim claim;
    private final ClaimFields request;
    private final boolean added;
    private final long sinceNanos;
    private ClaimJournal.Entry entry;
    private boolean done;

    private PendingGrant(Claim claim, ClaimFields request, boolean added, long sinceNanos) {
      this.claim = claim;
      this.request = request;
      this.added = added;
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

  /** Starts to serve the shards of a finished recovery. */
  void serve(ClaimRecovery recovery, long nowNanos) {
    fencingByServedShard.putAll(recovery.fencingByShard());
    for (ClaimCopy copy : recovery.copies()) {
      Claim claim = Claim.recovered(copy, nowNanos);
      table.addRecovered(claim);
    }
    placeBackups(true);
  }

  /** Stops to serve shards that another process owns; their idempotent claims stay as copies. */
  void stopServing(Set<Integer> shards, long nowNanos) {
    for (PendingGrant grant : List.copyOf(pendingGrants)) {
      if (shards.contains(grant.claim.shard)) {
        grant.entry.withdraw();
        finish(grant);
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
    refuseOverdueGrants(nowNanos);
    journal.onTick(nowNanos);
    table.sweep(nowNanos, claim -> overdue(claim, nowNanos), claim -> probe(claim, nowNanos));
    placeBackups(false);
  }

  void onClaim(ClaimRequest message, int shard, long nowNanos) {
    ClaimFields request = message.claim();
    if (!fencingByServedShard.containsKey(shard) || !ownership.ownsNow(shard, nowNanos)) {
      reply(request, ClaimReply.Kind.NOT_OWNER, 0);
      return;
    }
    if (refusedTokens.contains(Messages.tokenOf(request))) {
      // The client ends at the first refusal, so a late repeat must not claim again.
      reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
      return;
    }
    Claim claim = table.get(Messages.identityOf(request));
    if (claim == null) {
      claimNew(request, shard, nowNanos);
    } else if (table.isExpired(claim, nowNanos)) {
      reply(request, ClaimReply.Kind.EXPIRED, 0);
    } else if (!claim.content.equals(Messages.contentOf(request))) {
      reply(request, ClaimReply.Kind.KEY_REUSED, 0);
    } else if (claim.token().equals(Messages.tokenOf(request))) {
      repeatOfHolder(claim, request);
    } else {
      otherToken(claim, request, nowNanos);
    }
  }

  private void claimNew(ClaimFields request, int shard, long nowNanos) {
    Claim claim =
        new Claim(
            Messages.identityOf(request),
            Messages.contentOf(request),
            shard,
            request.idempotent(),
            Messages.tokenOf(request),
            nowNanos);
    if (table.add(claim)) {
      grant(claim, request, true, nowNanos);
    } else if (request.idempotent()) {
      // An evicted idempotent claim may have run, so "not run" would not be certain.
      reply(request, ClaimReply.Kind.UNKNOWN, settings.resendMillis());
    } else {
      reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
    }
  }

  /** The token's own request came again; the client ignores what it has heard before. */
  private void repeatOfHolder(Claim claim, ClaimFields request) {
    if (claim.isCommitting()) {
      return;
    }
    switch (claim.state()) {
      case CLAIMED, DISPATCHED -> reply(request, ClaimReply.Kind.GRANTED, 0);
      case ANSWERED -> replyAnswered(claim, request);
      case RELEASED -> reply(request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
      default -> {
        // A claim read from a journal was granted to this token, which alone may dispatch it.
        boolean undecided = isUndecided(claim);
        reply(request, undecided ? ClaimReply.Kind.GRANTED : ClaimReply.Kind.UNKNOWN, 0);
      }
    }
  }

  private void otherToken(Claim claim, ClaimFields request, long nowNanos) {
    ClaimToken token = Messages.tokenOf(request);
    switch (claim.state()) {
      case CLAIMED, DISPATCHED -> repeatOfRunning(claim, request, nowNanos);
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

  private void repeatOfRunning(Claim claim, ClaimFields request, long nowNanos) {
    ClaimToken token = Messages.tokenOf(request);
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
    claim.reclaim(Messages.tokenOf(request), request.idempotent(), nowNanos);
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

  private void grant(Claim claim, ClaimFields request, boolean added, long nowNanos) {
    if (claim.isIdempotent()) {
      backUp(claim);
      reply(request, ClaimReply.Kind.GRANTED, 0);
      return;
    }
    claim.committing(true);
    PendingGrant grant = new PendingGrant(claim, request, added, nowNanos);
    pendingGrants.add(grant);
    grantByClaim.put(claim, grant);
    grant.entry =
        journal.append(
            copy(claim),
            new ClaimJournal.Listener() {
              @Override
              public void committed() {
                if (finish(grant)) {
                  reply(request, ClaimReply.Kind.GRANTED, 0);
                }
              }

              @Override
              public void refused() {
                if (finish(grant)) {
                  restore(grant, clock.nanoTime());
                  reply(request, ClaimReply.Kind.NOT_OWNER, 0);
                }
              }
            },
            nowNanos);
  }

  private boolean finish(PendingGrant grant) {
    if (grant.done) {
      return false;
    }
    grant.done = true;
    grant.claim.committing(false);
    grantByClaim.remove(grant.claim);
    pendingGrants.remove(grant);
    return true;
  }

  /** Undoes a claim that nobody was granted. */
  private void restore(PendingGrant grant, long nowNanos) {
    if (grant.added) {
      table.remove(grant.claim);
    } else {
      grant.claim.release(nowNanos);
    }
  }

  private void refuseOverdueGrants(long nowNanos) {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(settings.journalWaitMillis());
    while (!pendingGrants.isEmpty() && nowNanos - pendingGrants.peek().sinceNanos >= waitNanos) {
      PendingGrant grant = pendingGrants.peek();
      refuse(grant, nowNanos);
      reply(grant.request, ClaimReply.Kind.UNAVAILABLE, settings.journalWaitMillis());
    }
  }

  private void refuse(PendingGrant grant, long nowNanos) {
    final boolean neverStored = grant.entry.withdraw();
    finish(grant);
    grant.claim.release(nowNanos);
    rememberRefused(grant.claim.token());
    if (!neverStored) {
      // The claim may be in the store; the release keeps a new owner from taking it as unknown.
      journal.append(copy(grant.claim), null, nowNanos);
    }
    if (grant.added) {
      table.remove(grant.claim);
    }
  }

  private void rememberRefused(ClaimToken token) {
    refusedTokens.add(token);
    if (refusedTokens.size() > MAX_REFUSED_TOKENS) {
      refusedTokens.remove(refusedTokens.iterator().next());
    }
  }

  void onUpdate(ClaimUpdate update, int shard, long nowNanos) {
    if (!fencingByServedShard.containsKey(shard) || !ownership.ownsNow(shard, nowNanos)) {
      return;
    }
    Claim claim = table.get(Messages.identityOf(update.claim()));
    if (claim == null) {
      claim = addFromUpdate(update, shard, nowNanos);
    }
    if (claim == null || !claim.token().equals(Messages.tokenOf(update.claim()))) {
      acknowledge(update);
    } else {
      apply(claim, update, nowNanos);
    }
  }

  /** Takes in a claim whose copies were lost with the former owner and its backup. */
  private Claim addFromUpdate(ClaimUpdate update, int shard, long nowNanos) {
    if (update.kind() == ClaimUpdate.Kind.RELEASED) {
      return null;
    }
    ClaimFields fields = update.claim();
    Claim claim =
        new Claim(
            Messages.identityOf(fields),
            Messages.contentOf(fields),
            shard,
            fields.idempotent(),
            Messages.tokenOf(fields),
            nowNanos);
    table.addRecovered(claim);
    return claim;
  }

  private void apply(Claim claim, ClaimUpdate update, long nowNanos) {
    PendingGrant grant = grantByClaim.get(claim);
    if (grant != null) {
      refuse(grant, nowNanos);
      acknowledge(update);
      return;
    }
    if (!isNews(claim, update.kind())) {
      if (!answersCommitting.contains(claim.identity)) {
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
      answersCommitting.add(claim.identity);
      journal.append(
          copy(claim),
          new ClaimJournal.Listener() {
            @Override
            public void committed() {
              answersCommitting.remove(claim.identity);
              acknowledge(update);
            }

            @Override
            public void refused() {
              // The client repeats its update at the new owner.
              answersCommitting.remove(claim.identity);
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

  /** An update can arrive late; a report of a dispatch says nothing about a settled claim. */
  private static boolean isNews(Claim claim, ClaimUpdate.Kind kind) {
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

  /** An open claim without news for the claim window counts as unknown. */
  private void overdue(Claim claim, long nowNanos) {
    if (claim.isCommitting()) {
      return;
    }
    claim.fail(nowNanos);
    if (!claim.isIdempotent()) {
      journal.append(copy(claim), null, nowNanos);
    }
  }

  /** Returns whether only the holder knows whether it has dispatched the request. */
  private static boolean isUndecided(Claim claim) {
    return claim.state() == ClaimState.CLAIMED
        || (claim.state() == ClaimState.UNKNOWN
            && !claim.isIdempotent()
            && claim.endpointId().isEmpty());
  }

  /**
   * Repeats a grant whose holder has not reported for long. A holder that has ended the token, for
   * example because a late copy of its request was granted, answers with what became of it.
   */
  private void probe(Claim claim, long nowNanos) {
    long intervalNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis());
    boolean open = isUndecided(claim) && !claim.isCommitting();
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

  /** Sends the idempotent claims of shards whose backup has changed to the new backup. */
  @SuppressWarnings("ReferenceEquality") // An unchanged view is the same object; equals is slow.
  private void placeBackups(boolean force) {
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    if (!force && view == placedView) {
      return;
    }
    placedView = view;
    Map<String, List<ClaimCopy>> copiesByBackup = new TreeMap<>();
    Set<Integer> moved = new HashSet<>();
    for (int shard : fencingByServedShard.keySet()) {
      List<String> ranked = BackupPlacement.rank(shard, view.selfId(), view);
      String chosen = ranked.isEmpty() ? null : ranked.get(0);
      if (chosen != null && !chosen.equals(backupByShard.put(shard, chosen))) {
        moved.add(shard);
      }
    }
    if (moved.isEmpty()) {
      return;
    }
    for (Claim claim : table.claims()) {
      if (claim.isIdempotent() && moved.contains(claim.shard)) {
        copiesByBackup
            .computeIfAbsent(backupByShard.get(claim.shard), id -> new ArrayList<>())
            .add(copy(claim));
      }
    }
    copiesByBackup.forEach(this::sendCopies);
  }

  private void sendCopies(String backup, List<ClaimCopy> copies) {
    for (List<ClaimCopy> part : ClaimBackups.parts(copies)) {
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
