package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The reply to a claim request or the acknowledgement of a claim update.
 *
 * @param holderIncarnation the incarnation in the token of the request
 * @param tokenNumber the number in the token of the request
 * @param instanceId for {@code RUNNING}: the instance that holds the claim; otherwise empty
 * @param endpointId for {@code RUNNING} and {@code RESUMED}: the endpoint, or empty before dispatch
 * @param streamable for {@code RUNNING}: whether the stream can be resumed at the endpoint
 * @param retryAfterMillis the advised delay before a retry, in milliseconds, or 0
 */
public record ClaimReply(
    long holderIncarnation,
    long tokenNumber,
    Kind kind,
    String instanceId,
    String endpointId,
    boolean streamable,
    ClaimResponse response,
    long retryAfterMillis)
    implements PeerMessage {
  /** The decision of the owner. */
  public enum Kind {
    /** The token may dispatch the request. */
    GRANTED,
    /** Another token holds the claim. */
    RUNNING,
    /** The token holds the claim of an earlier token and resumes its stream. */
    RESUMED,
    /** The reply contains the response of the first execution. */
    ANSWERED,
    /** It is unknown whether the request ran. */
    UNKNOWN,
    /** The idempotency key was already used with different content. */
    KEY_REUSED,
    /** The identity is older than the claim window. */
    EXPIRED,
    /** The owner granted no claim; the request did not run. */
    UNAVAILABLE,
    /** The receiver does not own the shard; the requester retries at the current owner. */
    NOT_OWNER,
    /** The owner has recorded the dispatch under this token. */
    DISPATCH_RECORDED,
    /** The owner has recorded the outcome of this token. */
    UPDATED
  }

  /** Validates the fields. */
  public ClaimReply {
    Checks.notNull(kind, "kind");
    Checks.notNull(instanceId, "instanceId");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNull(response, "response");
    Checks.notNegative(retryAfterMillis, "retryAfterMillis");
  }

  /** Returns a reply without a holder and without a response. */
  public static ClaimReply withoutResponse(ClaimFields claim, Kind kind, long retryAfterMillis) {
    return new ClaimReply(
        claim.holderIncarnation(),
        claim.tokenNumber(),
        kind,
        "",
        "",
        false,
        ClaimResponse.NONE,
        retryAfterMillis);
  }

  @Override
  public MessageType type() {
    return MessageType.CLAIM_REPLY;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(holderIncarnation).packLong(tokenNumber).packString(kind.name());
    packer.packString(instanceId).packString(endpointId).packBoolean(streamable);
    response.encode(packer);
    packer.packLong(retryAfterMillis);
  }

  static ClaimReply decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimReply(
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        BoundedDecoder.unpackEnum(unpacker, Kind.class),
        BoundedDecoder.unpackString(unpacker, ClaimFields.MAX_NAME_BYTES),
        BoundedDecoder.unpackString(unpacker, ClaimFields.MAX_NAME_BYTES),
        unpacker.unpackBoolean(),
        ClaimResponse.decode(unpacker),
        unpacker.unpackLong());
  }
}
