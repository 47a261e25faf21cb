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
 * Asks the owners of claim shards on behalf of the request path of this process and reports what
 * became of its claims. Used on the control thread only.
 *
 * <p>A token for which this client has given up is never dispatched. When the owner grants it
 * later, or may have granted it, the client releases it, so that a repeat by the caller is a new
 * request. If this process ends before the release arrives, a non-idempotent claim becomes unknown:
 * the caller was truthfully told that its attempt did not run, and its repeat is told "unknown".
 */
final class ClaimClient {
  /** How many claim timeouts an ended token is remembered for late messages. */
  private static final int ENDED_TIMEOUTS = 10;

  private final Blackboard blackboard;
  private final ProcessIncarnation self;
  private final ClaimSettings settings;
  private final BiConsumer<String, PeerMessage> send;
  private final UpdateOutbox outbox;
  private final Map<Long, PendingClaim> pending = new LinkedHashMap<>();
  private final Map<RequestIdentity, OpenClaim> open = new HashMap<>();
  private final LinkedHashMap<Long, Ended> ended = new LinkedHashMap<>();
  private ShardMap knownMap = ShardMap.EMPTY;
  private long lastTokenNumber;

  private static final class PendingClaim {
    private final RequestIdentity identity;
    private final ClaimFields fields;
    private final CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
    private final long endNanos;
    private long nextSendNanos;

    private PendingClaim(RequestIdentity identity, ClaimFields fields, long endNanos) {
      this.identity = identity;
      this.fields = fields;
      this.endNanos = endNanos;
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
   * A token that will not be dispatched any more.
   *
   * @param verdict {@code RELEASED} when it never was, otherwise {@code FAILED}
   */
  private record Ended(ClaimFields fields, ClaimUpdate.Kind verdict, long sinceNanos) {}

  ClaimClient(
      Blackboard blackboard,
      ProcessIncarnation self,
      ClaimSettings settings,
      BiConsumer<String, PeerMessage> send) {
    this.blackboard = blackboard;
    this.self = self;
    this.settings = settings;
    this.send = send;
    this.outbox = new UpdateOutbox(settings, update -> toOwner(update.claim(), update));
  }

  CompletableFuture<ClaimOutcome> claim(
      RequestIdentity identity, ContentHash content, boolean idempotent, long nowNanos) {
    OpenClaim running = open.get(identity);
    if (running != null) {
      boolean reused = !Messages.contentOf(running.fields).equals(content);
      return CompletableFuture.completedFuture(
          reused ? new ClaimOutcome.KeyReused() : runningHere(running));
    }
    ClaimToken token = new ClaimToken(self.instanceId(), self.incarnation(), ++lastTokenNumber);
    PendingClaim claim =
        new PendingClaim(
            identity,
            Messages.fields(identity, content, idempotent, token),
            nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis()));
    pending.put(token.number(), claim);
    ask(claim, nowNanos);
    return claim.outcome;
  }

  void dispatched(RequestIdentity identity, String endpointId, long nowNanos) {
    OpenClaim claim = open.get(identity);
    if (claim != null) {
      claim.endpointId = endpointId;
      update(claim.fields, ClaimUpdate.Kind.DISPATCHED, endpointId, ClaimResponse.NONE, nowNanos);
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
      remember(claim.fields, released ? kind : ClaimUpdate.Kind.FAILED, nowNanos);
      update(claim.fields, kind, claim.endpointId, response, nowNanos);
    }
  }

  private void update(
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
      refuseLateGrant(reply, nowNanos);
    } else if (reply.kind() != ClaimReply.Kind.NOT_OWNER) {
      pending.remove(reply.tokenNumber());
      if (reply.kind() != ClaimReply.Kind.GRANTED && reply.kind() != ClaimReply.Kind.RESUMED) {
        remember(claim.fields, ClaimUpdate.Kind.RELEASED, nowNanos);
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
          throw new IllegalStateException("not the outcome of a claim: " + reply.kind());
    };
  }

  /** Opens the claim; {@code endpointId} is empty unless a running stream is resumed. */
  private ClaimOutcome granted(PendingClaim claim, String endpointId, long nowNanos) {
    OpenClaim running = open.get(claim.identity);
    if (running != null) {
      // Two attempts of this process overlapped; only the one that is open may run.
      abandon(claim.fields, nowNanos);
      return runningHere(running);
    }
    OpenClaim opened = new OpenClaim(claim.fields, endpointId);
    open.put(claim.identity, opened);
    return endpointId.isEmpty()
        ? new ClaimOutcome.Granted(Messages.tokenOf(claim.fields))
        : runningHere(opened);
  }

  private ClaimOutcome runningHere(OpenClaim claim) {
    boolean resumable = claim.fields.idempotent() && !claim.endpointId.isEmpty();
    return new ClaimOutcome.Running(self.instanceId(), claim.endpointId, resumable);
  }

  /**
   * A repeated or delayed request of an ended token was granted. Without an answer the owner would
   * count the request as running.
   */
  private void refuseLateGrant(ClaimReply reply, long nowNanos) {
    Ended token = ended.get(reply.tokenNumber());
    if (token != null
        && reply.kind() == ClaimReply.Kind.GRANTED
        && !outbox.contains(reply.tokenNumber())) {
      update(token.fields, token.verdict, "", ClaimResponse.NONE, nowNanos);
    }
  }

  private void abandon(ClaimFields fields, long nowNanos) {
    remember(fields, ClaimUpdate.Kind.RELEASED, nowNanos);
    update(fields, ClaimUpdate.Kind.RELEASED, "", ClaimResponse.NONE, nowNanos);
  }

  private void remember(ClaimFields fields, ClaimUpdate.Kind verdict, long nowNanos) {
    ended.put(fields.tokenNumber(), new Ended(fields, verdict, nowNanos));
  }

  void onTick(long nowNanos) {
    noticeNewOwners(nowNanos);
    for (PendingClaim claim : List.copyOf(pending.values())) {
      if (nowNanos - claim.endNanos >= 0) {
        giveUp(claim, nowNanos);
      } else if (nowNanos - claim.nextSendNanos >= 0) {
        ask(claim, nowNanos);
      }
    }
    outbox.onTick(nowNanos);
    forgetEnded(nowNanos);
  }

  /**
   * Ends a claim that no owner has decided. Only a generated key proves that no earlier attempt
   * ran; with a caller's key an earlier attempt at another instance may have run.
   */
  private void giveUp(PendingClaim claim, long nowNanos) {
    pending.remove(claim.fields.tokenNumber());
    abandon(claim.fields, nowNanos);
    long retryAfterMillis = settings.resendMillis();
    claim.outcome.complete(
        claim.identity.isGenerated()
            ? new ClaimOutcome.Unavailable(retryAfterMillis)
            : new ClaimOutcome.Unknown(retryAfterMillis));
  }

  /** A new owner may have lost the copies of open claims, so their dispatch is reported again. */
  @SuppressWarnings("ReferenceEquality") // An unchanged map is the same object; equals is slow.
  private void noticeNewOwners(long nowNanos) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    if (map == knownMap) {
      return;
    }
    ShardMap before = knownMap;
    knownMap = map;
    for (PendingClaim claim : pending.values()) {
      if (ownerChanged(before, map, claim.identity)) {
        claim.nextSendNanos = nowNanos;
      }
    }
    open.forEach(
        (identity, claim) -> {
          if (!claim.endpointId.isEmpty() && ownerChanged(before, map, identity)) {
            update(
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

  private void ask(PendingClaim claim, long nowNanos) {
    claim.nextSendNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.resendMillis());
    toOwner(claim.fields, new ClaimRequest(claim.fields));
  }

  private void toOwner(ClaimFields fields, PeerMessage message) {
    ShardMap map = blackboard.read(ShardMap.ENTRY);
    map.ownerOf(ShardKind.CLAIM, Messages.identityOf(fields).shardKey())
        .map(ShardOwner::instanceId)
        .ifPresent(owner -> send.accept(owner, message));
  }

  private void forgetEnded(long nowNanos) {
    long keepNanos = ENDED_TIMEOUTS * TimeUnit.MILLISECONDS.toNanos(settings.claimTimeoutMillis());
    while (!ended.isEmpty()) {
      Map.Entry<Long, Ended> oldest = ended.entrySet().iterator().next();
      if (nowNanos - oldest.getValue().sinceNanos < keepNanos) {
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
