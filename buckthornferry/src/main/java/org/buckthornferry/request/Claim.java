package org.buckthornferry.request;

import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.peer.ClaimFields;
import org.buckthornferry.peer.ClaimResponse;

/**
 * The record of one request identity at the owner of its shard. Used on the control thread only.
 */
final class Claim {
  final RequestIdentity identity;
  final ContentHash content;
  final int shard;
  private ClaimToken token;
  private ClaimState state;
  private boolean idempotent;
  private boolean committing;
  private String endpointId = "";
  private StoredResponse response;
  private long changedNanos;
  private long probedNanos;

  /** Creates a claim held by {@code token}. */
  Claim(
      RequestIdentity identity,
      ContentHash content,
      int shard,
      boolean idempotent,
      ClaimToken token,
      long nowNanos) {
    this.identity = identity;
    this.content = content;
    this.shard = shard;
    this.idempotent = idempotent;
    this.token = token;
    this.state = ClaimState.CLAIMED;
    this.changedNanos = nowNanos;
    this.probedNanos = nowNanos;
  }

  /**
   * Restores a claim of a former owner. A non-idempotent claim that was neither answered nor
   * released becomes unknown.
   */
  static Claim recovered(ClaimCopy copy, long nowNanos) {
    Claim claim =
        new Claim(
            ClaimFieldsConverter.identityOf(copy.claim()),
            ClaimFieldsConverter.contentOf(copy.claim()),
            copy.shard(),
            copy.claim().idempotent(),
            ClaimFieldsConverter.tokenOf(copy.claim()),
            nowNanos);
    claim.state = ClaimState.ofCode(copy.stateCode());
    claim.endpointId = copy.endpointId();
    claim.response = copy.response().isPresent() ? StoredResponse.ofMessage(copy.response()) : null;
    if (claim.state.isOpen() && !claim.idempotent) {
      claim.state = ClaimState.UNKNOWN;
    }
    return claim;
  }

  ClaimToken token() {
    return token;
  }

  ClaimState state() {
    return state;
  }

  boolean isIdempotent() {
    return idempotent;
  }

  String endpointId() {
    return endpointId;
  }

  /** Returns the stored response, or null. */
  StoredResponse response() {
    return response;
  }

  int responseBytes() {
    return response == null ? 0 : response.body().length;
  }

  /** Returns whether the claim waits for its journal commit; it must not be dispatched before. */
  boolean isCommitting() {
    return committing;
  }

  void setCommitting(boolean value) {
    committing = value;
  }

  long ageNanos(long nowNanos) {
    return nowNanos - changedNanos;
  }

  /**
   * Returns whether the interval has passed since the last change and the last probe; if so,
   * records a probe.
   */
  boolean probeIfDue(long nowNanos, long intervalNanos) {
    if (nowNanos - changedNanos < intervalNanos || nowNanos - probedNanos < intervalNanos) {
      return false;
    }
    probedNanos = nowNanos;
    return true;
  }

  /** Assigns a released or unknown claim to a new token. */
  void reclaim(ClaimToken newToken, boolean newIdempotent, long nowNanos) {
    change(ClaimState.CLAIMED, nowNanos);
    token = newToken;
    idempotent &= newIdempotent;
    endpointId = "";
  }

  /** Assigns a stream whose holder has ended or whose response was not kept to a new token. */
  void resume(ClaimToken newToken, long nowNanos) {
    if (state != ClaimState.DISPATCHED) {
      change(ClaimState.DISPATCHED, nowNanos);
    }
    token = newToken;
    changedNanos = nowNanos;
  }

  void dispatch(String newEndpointId, long nowNanos) {
    change(ClaimState.DISPATCHED, nowNanos);
    endpointId = newEndpointId;
  }

  /** Records the response, or null when it is not kept. */
  void answer(StoredResponse newResponse, long nowNanos) {
    change(ClaimState.ANSWERED, nowNanos);
    response = newResponse;
  }

  void release(long nowNanos) {
    change(ClaimState.RELEASED, nowNanos);
  }

  void fail(long nowNanos) {
    change(ClaimState.UNKNOWN, nowNanos);
  }

  /** Drops the stored response and returns the number of bytes freed. */
  int dropResponse() {
    int freedBytes = responseBytes();
    response = null;
    return freedBytes;
  }

  ClaimCopy copy(long fencingNumber, long sequence, int maxBodyBytes) {
    ClaimResponse message =
        response == null || response.body().length > maxBodyBytes
            ? ClaimResponse.NONE
            : response.toMessage();
    return new ClaimCopy(
        shard, fencingNumber, sequence, fields(), state.code(), endpointId, message);
  }

  ClaimFields fields() {
    return ClaimFieldsConverter.fields(identity, content, idempotent, token);
  }

  private void change(ClaimState next, long nowNanos) {
    if (!state.allows(next, idempotent)) {
      throw new IllegalStateException("claim cannot change from " + state + " to " + next);
    }
    state = next;
    changedNanos = nowNanos;
  }
}
