package org.buckthornferry.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.peer.ClaimFields;
import org.buckthornferry.peer.ClaimReply;
import org.buckthornferry.peer.ClaimRequest;
import org.buckthornferry.peer.ClaimResponse;
import org.buckthornferry.peer.ClaimUpdate;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;

/**
 * Requests claims from the owners of claim shards for the request path of this process and reports
 * the outcomes of granted claims. Used on the control thread only.
 *
 * <p>A token whose claim has timed out is never dispatched. If the owner grants it later, or may
 * have granted it, the client releases it, so that a retry by the caller is a new request. If this
 * process ends before the release arrives, a non-idempotent claim becomes unknown: the caller was
 * correctly told that its attempt did not run, but its retry is answered with "unknown".
 */
final class ClaimClient {
  /** How long ended tokens are kept to answer late messages, in multiples of the claim timeout. */
  private static final int ENDED_RETENTION_TIMEOUTS = 10;

  private final Blackboard blackboard;
  private final ProcessIncarnation self;
  private final ClaimSettings settings;
  private final BiConsumer<String, PeerMessage> send;
  private final UpdateOutbox outbox;
  private final Map<Long, PendingClaim> pending = new LinkedHashMap<>();
  private final Map<RequestIdentity, OpenClaim> open = new HashMap<>();
  private final LinkedHashMap<Long, EndedToken> ended = new LinkedHashMap<>();
  private ShardMap lastShardMap = ShardMap.EMPTY;
  private long lastTokenNumber;

  private static final class PendingClaim {
    private final RequestIdentity identity;
    private final ClaimFields fields;
    private final CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
    private final long deadlineNanos;
    private long nextSendNanos;

    private PendingClaim(RequestIdentity identity, ClaimFields fields, long deadlineNanos) {
      this.identity = identity;
      this.fields = fields;
      this.deadlineNanos = deadlineNanos;
    }
  }

  private static final class OpenClaim {
    private final ClaimFields fields;
    private String endpointId;

    private OpenClaim(ClaimFields fields, String endpointId) {
      this.fields = fields;
      this.endpointId = endpointId;
    }
  }

  /**
   * A token that will not be dispatched again.
   *
   * @param finalKind {@code RELEASED} when its request did not run, otherwise {@code FAILED}
   */
  private record EndedToken(ClaimFields fields, ClaimUpdate.Kind finalKind, long endedNanos) {}

  ClaimClient(
      Blackboard blackboard,
      ProcessIncarnation self,
      ClaimSettings settings,
      BiConsumer<String, PeerMessage> send) {
    this.blackboard = blackboard;
    this.self = self;
    this.settings = settings;
    this.send = send;
    this.outbox = new UpdateOutbox(settings, update -> sendToOwner(update.claim(), update));
  }

  CompletableFuture<ClaimOutcome> claim(
      RequestIdentity identity, ContentHash content, boolean idempotent, long nowNanos) {
    OpenClaim running = open.get(identity);
    if (running != null) {
      boolean reused = !ClaimFieldsConverter.contentOf(running.fields).equals(content);
      return CompletableFuture.completedFuture(
          reused ? new ClaimOutcome.KeyReused() : runningLocally(running));
    }
    ClaimToken token = new ClaimToken(self.instanceId(), self.incarnation(), ++lastTokenNumber);
    PendingClaim claim =
        new PendingClaim(
            identity,
            ClaimFieldsConverter.fields(identity, content, idempotent, token),
            nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis()));
    pending.put(token.number(), claim);
    sendRequest(claim, nowNanos);
    return claim.outcome;
  }

  void dispatched(RequestIdentity identity, String endpointId, long nowNanos) {
    OpenClaim claim = open.get(identity);
    if (claim != null) {
      claim.endpointId = endpointId;
      enqueueUpdate(
          claim.fields, ClaimUpdate.Kind.DISPATCHED, endpointId, ClaimResponse.NONE, nowNanos);
    }
  }

  void answered(RequestIdentity identity, StoredResponse response, long nowNanos) {
    end(identity, ClaimUpdate.Kind.ANSWERED, response.toMessage(), nowNanos);
  }

  void released(RequestIdentity identity, long nowNanos) {
    end(identity, ClaimUpdate.Kind.RELEASED, ClaimResponse.NONE, nowNanos);
  }

  void failed(RequestIdentity identity, long nowNanos) {
    end(identity, ClaimUpdate.Kind.FAILED, ClaimResponse.NONE, nowNanos);
  }

  private void end(
      RequestIdentity identity, ClaimUpdate.Kind kind, ClaimResponse response, long nowNanos) {
    OpenClaim claim = open.remove(identity);
    if (claim != null) {
      boolean released = kind == ClaimUpdate.Kind.RELEASED;
      recordEnded(claim.fields, released ? kind : ClaimUpdate.Kind.FAILED, nowNanos);
      enqueueUpdate(claim.fields, kind, claim.endpointId, response, nowNanos);
    }
  }

  private void enqueueUpdate(
      ClaimFields fields,
      ClaimUpdate.Kind kind,
      String endpointId,
      ClaimResponse response,
      long nowNanos) {
    outbox.add(new ClaimUpdate(fields, kind, endpointId, response), nowNanos);
  }

  void onReply(ClaimReply reply, long nowNanos) {
    if (reply.holderIncarnation() != self.incarnation()) {
      return;
    }
    if (reply.kind() == ClaimReply.Kind.UPDATED
        || reply.kind() == ClaimReply.Kind.DISPATCH_RECORDED) {
      outbox.onReply(reply);
      return;
    }
    PendingClaim claim = pending.get(reply.tokenNumber());
    if (claim == null) {
      rejectLateGrant(reply, nowNanos);
    } else if (reply.kind() != ClaimReply.Kind.NOT_OWNER) {
      pending.remove(reply.tokenNumber());
      if (reply.kind() != ClaimReply.Kind.GRANTED && reply.kind() != ClaimReply.Kind.RESUMED) {
        recordEnded(claim.fields, ClaimUpdate.Kind.RELEASED, nowNanos);
      }
      claim.outcome.complete(outcomeOf(reply, claim, nowNanos));
    }
  }

  private ClaimOutcome outcomeOf(ClaimReply reply, PendingClaim claim, long nowNanos) {
    return switch (reply.kind()) {
      case GRANTED -> granted(claim, "", nowNanos);
      case RESUMED -> granted(claim, reply.endpointId(), nowNanos);
      case RUNNING ->
          new ClaimOutcome.Running(reply.instanceId(), reply.endpointId(), reply.streamable());
      case ANSWERED -> new ClaimOutcome.Answered(StoredResponse.ofMessage(reply.response()));
      case UNKNOWN -> new ClaimOutcome.Unknown(reply.retryAfterMillis());
      case KEY_REUSED -> new ClaimOutcome.KeyReused();
      case EXPIRED -> new ClaimOutcome.Expired();
      case UNAVAILABLE -> new ClaimOutcome.Unavailable(reply.retryAfterMillis());
      case NOT_OWNER, DISPATCH_RECORDED, UPDATED ->
          throw new IllegalStateException("reply is not the outcome of a claim: " + reply.kind());
    };
  }

  /** Opens the claim; {@code endpointId} is empty unless a running stream is resumed. */
  private ClaimOutcome granted(PendingClaim claim, String endpointId, long nowNanos) {
    OpenClaim running = open.get(claim.identity);
    if (running != null) {
      // Two attempts of this process overlapped; only the open one may run.
      releaseToken(claim.fields, nowNanos);
      return runningLocally(running);
    }
    OpenClaim opened = new OpenClaim(claim.fields, endpointId);
    open.put(claim.identity, opened);
    return endpointId.isEmpty()
        ? new ClaimOutcome.Granted(ClaimFieldsConverter.tokenOf(claim.fields))
        : runningLocally(opened);
  }

  private ClaimOutcome runningLocally(OpenClaim claim) {
    boolean resumable = claim.fields.idempotent() && !claim.endpointId.isEmpty();
    return new ClaimOutcome.Running(self.instanceId(), claim.endpointId, resumable);
  }

  /**
   * Reports the outcome of an ended token whose duplicate or delayed request was granted. Without
   * the report the owner would treat the request as running.
   */
  private void rejectLateGrant(ClaimReply reply, long nowNanos) {
    EndedToken token = ended.get(reply.tokenNumber());
    if (token != null
        && reply.kind() == ClaimReply.Kind.GRANTED
        && !outbox.contains(reply.tokenNumber())) {
      enqueueUpdate(token.fields, token.finalKind, "", ClaimResponse.NONE, nowNanos);
    }
  }

  private void releaseToken(ClaimFields fields, long nowNanos) {
    recordEnded(fields, ClaimUpdate.Kind.RELEASED, nowNanos);
    enqueueUpdate(fields, ClaimUpdate.Kind.RELEASED, "", ClaimResponse.NONE, nowNanos);
  }

  private void recordEnded(ClaimFields fields, ClaimUpdate.Kind finalKind, long nowNanos) {
    ended.put(fields.tokenNumber(), new EndedToken(fields, finalKind, nowNanos));
  }

  void onTick(long nowNanos) {
    followOwnerChanges(nowNanos);
    for (PendingClaim claim : List.copyOf(pending.values())) {
      if (nowNanos - claim.deadlineNanos >= 0) {
        timeOut(claim, nowNanos);
      } else if (nowNanos - claim.nextSendNanos >= 0) {
        sendRequest(claim, nowNanos);
      }
    }
    outbox.onTick(nowNanos);
    removeOldEnded(nowNanos);
  }

  /**
   * Ends a claim that no owner has answered in time. Only a generated key proves that no earlier
   * attempt ran; with a caller's key an earlier attempt through another instance may have run.
   */
  private void timeOut(PendingClaim claim, long nowNanos) {
    pending.remove(claim.fields.tokenNumber());
    releaseToken(claim.fields, nowNanos);
    long retryAfterMillis = settings.resendMillis();
    claim.outcome.complete(
        claim.identity.isGenerated()
            ? new ClaimOutcome.Unavailable(retryAfterMillis)
            : new ClaimOutcome.Unknown(retryAfterMillis));
  }

  /**
   * Resends pending requests and dispatch reports to new owners, which may not have the copies of
   * open claims.
   */
  @SuppressWarnings("ReferenceEquality") // An unchanged map is the same object; equals is slow.
  private void followOwnerChanges(long nowNanos) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    if (map == lastShardMap) {
      return;
    }
    ShardMap before = lastShardMap;
    lastShardMap = map;
    for (PendingClaim claim : pending.values()) {
      if (ownerChanged(before, map, claim.identity)) {
        claim.nextSendNanos = nowNanos;
      }
    }
    open.forEach(
        (identity, claim) -> {
          if (!claim.endpointId.isEmpty() && ownerChanged(before, map, identity)) {
            enqueueUpdate(
                claim.fields,
                ClaimUpdate.Kind.DISPATCHED,
                claim.endpointId,
                ClaimResponse.NONE,
                nowNanos);
          }
        });
  }

  private static boolean ownerChanged(ShardMap before, ShardMap after, RequestIdentity identity) {
    String key = identity.shardKey();
    return !before.ownerOf(ShardKind.CLAIM, key).equals(after.ownerOf(ShardKind.CLAIM, key));
  }

  private void sendRequest(PendingClaim claim, long nowNanos) {
    claim.nextSendNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.resendMillis());
    sendToOwner(claim.fields, new ClaimRequest(claim.fields));
  }

  private void sendToOwner(ClaimFields fields, PeerMessage message) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    map.ownerOf(ShardKind.CLAIM, ClaimFieldsConverter.identityOf(fields).shardKey())
        .map(ShardOwner::instanceId)
        .ifPresent(owner -> send.accept(owner, message));
  }

  private void removeOldEnded(long nowNanos) {
    long keepNanos =
        ENDED_RETENTION_TIMEOUTS * TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis());
    while (!ended.isEmpty()) {
      Map.Entry<Long, EndedToken> oldest = ended.entrySet().iterator().next();
      if (nowNanos - oldest.getValue().endedNanos < keepNanos) {
        return;
      }
      ended.remove(oldest.getKey());
    }
  }

  int openCount() {
    return open.size();
  }

  int pendingCount() {
    return pending.size();
  }

  int unacknowledgedCount() {
    return outbox.size();
  }
}
